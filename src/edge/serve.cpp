#include "edge/serve.h"

#include <csignal>
#include <utility>

namespace snowshore::edge {

namespace {
constexpr int kTurnLimit = 256; // handlers of one turn, all under one clock reading
}

asio::signal_set keep_signals(asio::io_context &io) {
  std::signal(SIGPIPE, SIG_IGN);
  return asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
}

void serve(asio::io_context &io, asio::signal_set &signals, telemetry::LoopClock &clock, telemetry::Log &log,
           Signals on) {
  bool draining = false;
  std::function<void()> wait = [&] {
    signals.async_wait([&](asio::error_code error, int signal) {
      if (error) return;
      if (signal != SIGHUP) {
        if (!std::exchange(draining, true)) {
          log.info("draining", {{"signal", signal}});
          on.drain([&] {
            log.info("drained");
            io.stop();
          });
        }
        return wait();
      }
      try {
        on.read_again();
      } catch (const std::exception &bad) {
        log.error("reload_refused", {{"cause", bad.what()}});
      }
      wait();
    });
  };
  wait();
  while (!io.stopped()) {
    clock.invalidate();
    if (io.run_one() == 0) break;
    for (int i = 0; i < kTurnLimit && io.poll_one() > 0; ++i) {
    }
  }
}

} // namespace snowshore::edge
