#include "platform/run.h"
#include "edge/serve.h"
#include "platform/front.h"

#include <cstdlib>
#include <iostream>

namespace snowshore::platform {

namespace {

std::string variable(const char *name) {
  const char *value = std::getenv(name);
  return value ? value : "";
}

} // namespace

int run_platform(const std::string &log_level) {
  try {
    asio::io_context io(1);
    asio::signal_set signals = edge::keep_signals(io);
    std::string file = variable("NODE_CONFIG");
    if (file.empty()) throw BootError("NODE_CONFIG: is not set");
    Boot boot = load_boot(file);
    telemetry::Log log("-", telemetry::level_of(log_level));
    log.info("starting", {{"name", boot.name},
                          {"sockets", boot.sockets},
                          {"memory_mb", boot.memory_mb},
                          {"cores", boot.cores},
                          {"list_number", boot.known.number()},
                          {"given", boot.core.given}});
    PlatformFront front(io, std::move(boot), log);
    log.info("serving", {{"port", front.viewers().local().port()}});
    auto read_again = [&] {
      if (auto why = front.change(load_boot(file))) throw BootError(*why);
      log.info("reloaded");
    };
    edge::serve(io, signals, front.core().clock(), log,
                {read_again, [&](std::function<void()> done) { front.drain(std::move(done)); }});
    return 0;
  } catch (const std::exception &error) {
    std::cerr << "snowshore: " << error.what() << "\n";
    return 2;
  }
}

} // namespace snowshore::platform
