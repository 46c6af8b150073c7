#include "platform/run.h"
#include "edge/serve.h"
#include "platform/front.h"

#include <cstdlib>
#include <iostream>

namespace snowshore::platform {

namespace {

std::string environment_variable(const char *name) {
  const char *value = std::getenv(name);
  return value ? value : "";
}

} // namespace

int run_platform(const std::string &log_level) {
  try {
    asio::io_context io(1);
    asio::signal_set signals = edge::register_signals(io);
    std::string file = environment_variable("NODE_CONFIG");
    if (file.empty()) throw NodeConfigError("NODE_CONFIG: is not set");
    NodeConfig config = load_node_config(file);
    telemetry::Log log("-", telemetry::parse_log_level(log_level));
    log.info("starting", {{"name", config.name},
                          {"sockets", config.sockets},
                          {"memory_mb", config.memory_mb},
                          {"cores", config.cores},
                          {"list_number", config.initial_list.number()},
                          {"given", config.core.decision_settings}});
    PlatformFront front(io, std::move(config), log);
    log.info("serving", {{"port", front.viewers().local_endpoint().port()}});
    auto reload_config = [&] {
      if (auto refusal = front.reload(load_node_config(file))) throw NodeConfigError(*refusal);
      log.info("reloaded");
    };
    edge::serve(io, signals, front.core().clock(), log,
                {reload_config, [&](std::function<void()> done) { front.drain(std::move(done)); }});
    return 0;
  } catch (const std::exception &error) {
    std::cerr << "snowshore: " << error.what() << "\n";
    return 2;
  }
}

} // namespace snowshore::platform
