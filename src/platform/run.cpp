#include "platform/run.h"
#include "platform/front.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace snowshore::platform {

namespace {

constexpr int kTurnLimit = 256; // handlers of one turn, all under one clock reading

std::string variable(const char *name) {
  const char *value = std::getenv(name);
  return value ? value : "";
}

} // namespace

int run_platform(const std::string &log_level) {
  try {
    std::string file = variable("NODE_CONFIG");
    if (file.empty()) throw BootError("NODE_CONFIG: is not set");
    Boot boot = load_boot(file);
    telemetry::Log log("-", telemetry::level_of(log_level));
    asio::io_context io(1);
    log.info("starting", {{"name", boot.name},
                          {"sockets", boot.sockets},
                          {"memory_mb", boot.memory_mb},
                          {"cores", boot.cores},
                          {"list_number", boot.known.number()},
                          {"given", boot.core.given}});
    PlatformFront front(io, std::move(boot), log);
    log.info("serving", {{"port", front.viewers().local().port()}});
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait = [&] {
      signals.async_wait([&](asio::error_code error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          try {
            auto why = front.change(load_boot(file));
            if (why)
              log.error("reload_refused", {{"cause", *why}});
            else
              log.info("reloaded");
          } catch (const std::exception &bad) {
            log.error("reload_refused", {{"cause", bad.what()}});
          }
        } else {
          log.info("draining", {{"signal", signal}});
          front.drain([&] {
            log.info("drained");
            io.stop();
          });
        }
        wait();
      });
    };
    wait();
    while (!io.stopped()) {
      front.core().clock().turn();
      if (io.run_one() == 0) break;
      for (int i = 0; i < kTurnLimit && io.poll_one() > 0; ++i) {
      }
    }
    return 0;
  } catch (const std::exception &error) {
    std::cerr << "snowshore: " << error.what() << "\n";
    return 2;
  }
}

} // namespace snowshore::platform
