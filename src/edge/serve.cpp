#include "edge/serve.h"

#include <csignal>

namespace snowshore::edge {

namespace {
constexpr int kTurnLimit = 256; // handlers of one turn, all under one clock reading
}

void serve(asio::io_context &io, telemetry::LoopClock &clock, telemetry::Log &log, Signals on) {
  asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait([&](asio::error_code error, int signal) {
      if (error) return;
      if (signal != SIGHUP) {
        log.info("draining", {{"signal", signal}});
        on.drain([&] {
          log.info("drained");
          io.stop();
        });
        return;
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
    clock.turn();
    if (io.run_one() == 0) break;
    for (int i = 0; i < kTurnLimit && io.poll_one() > 0; ++i) {
    }
  }
}

} // namespace snowshore::edge
