// Waits for signals on the executor, and runs it in batches of handlers.
#include "edge/serve.h"

#include <csignal>
#include <utility>

namespace snowshore::edge {

namespace {
// Handlers that run under one reading of the clock.
constexpr int kMaxHandlersPerBatch = 256;
} // namespace

asio::signal_set register_signals(asio::io_context &io) {
  std::signal(SIGPIPE, SIG_IGN);
  return asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
}

void serve(asio::io_context &io, asio::signal_set &signals, telemetry::LoopClock &clock, telemetry::Log &log,
           SignalHandlers handlers) {
  bool draining = false;
  std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](asio::error_code error, int signal) {
      if (error) return;
      if (signal != SIGHUP) {
        if (!std::exchange(draining, true)) {
          log.info("draining", {{"signal", signal}});
          handlers.drain([&] {
            log.info("drained");
            io.stop();
          });
        }
        return wait_for_signal();
      }
      try {
        handlers.reload();
      } catch (const std::exception &exception) {
        log.error("reload_refused", {{"cause", exception.what()}});
      }
      wait_for_signal();
    });
  };
  wait_for_signal();
  while (!io.stopped()) {
    clock.invalidate();
    if (io.run_one() == 0) break;
    for (int i = 0; i < kMaxHandlersPerBatch && io.poll_one() > 0; ++i) {
    }
  }
}

} // namespace snowshore::edge
