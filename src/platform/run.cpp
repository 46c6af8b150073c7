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
    asio::signal_set signals = edge::register_signals(io);
    std::string file = variable("NODE_CONFIG");
    if (file.empty()) throw NodeConfigError("NODE_CONFIG: is not set");
    NodeConfig boot = load_node_config(file);
    telemetry::Log log("-", telemetry::parse_log_level(log_level));
    log.info("starting", {{"name", boot.name},
                          {"sockets", boot.sockets},
                          {"memory_mb", boot.memory_mb},
                          {"cores", boot.cores},
                          {"list_number", boot.initial_list.number()},
                          {"given", boot.core.decision_settings}});
    PlatformFront front(io, std::move(boot), log);
    log.info("serving", {{"port", front.viewers().local_endpoint().port()}});
    auto read_again = [&] {
      if (auto why = front.change(load_node_config(file))) throw NodeConfigError(*why);
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
