// Starts the parts of a front end's process in order and runs them until it is drained.
#include "program/run.h"
#include "edge/serve.h"
#include "program/management_interface.h"

#include <iostream>

namespace snowshore::program {

namespace {

using config::FrontConfig;
using edge::Edge;

// Writes the bound ports to the file for programs that wait for them; does nothing without a file name.
void write_ports(const std::string &file, const Edge &edge, int management_port) {
  if (file.empty()) return;
  records::replace_file(file, "{\"players\": " + std::to_string(edge.player_endpoint().port()) +
                                  ", \"operators\": " + std::to_string(edge.operator_endpoint().port()) +
                                  ", \"management\": " + std::to_string(management_port) + "}\n");
}

} // namespace

int run_edge(const std::vector<std::string> &files, const std::string &version,
             edge::DecisionEngineFactory engine_factory) {
  try {
    asio::io_context io(1);
    asio::signal_set signals = edge::register_signals(io);
    FrontConfig config = config::load_front_config(files);
    std::unique_ptr<ManagementInterface> management = make_management(config, version);
    if (management) config = management->start(config);
    telemetry::Log log(config.log_target, telemetry::parse_log_level(config.log_level));
    auto list_source = edge::watch_files(io, config.list_file, config.catalogue_file);
    if (list_source->is_polling())
      log.warning("list_polled", {{"cause", "no inotify instance or watch is left; polling the files"}});
    std::string ports_file = config.ports_file;
    Edge edge(io, config, log, std::move(list_source), std::move(engine_factory));
    struct DetachAtEnd {
      ManagementInterface *management;
      ~DetachAtEnd() {
        if (management) management->detach();
      }
    } detach_at_end{management.get()};
    int management_port = management ? management->attach(io, edge, log) : 0;
    edge.on_config_changed = [&] { write_ports(ports_file, edge, management_port); };
    write_ports(ports_file, edge, management_port);
    log.info("serving", {{"players", edge.player_endpoint().port()},
                         {"operators", edge.operator_endpoint().port()},
                         {"management", management_port}});

    bool draining = false;
    auto reload = [&] {
      if (draining) throw std::runtime_error("the front is draining");
      if (management) return management->apply_files(config::load_front_config(files));
      log.info("reloaded", {{"needs_restart", edge.reload(config::load_front_config(files))}});
    };
    edge::serve(io, signals, edge.clock(), log, {reload, [&](std::function<void()> done) {
                                                   draining = true;
                                                   edge.drain(std::move(done));
                                                 }});
    return 0;
  } catch (const records::RecordError &error) {
    std::cerr << error.what() << "\n";
    return 2;
  } catch (const std::exception &error) {
    std::cerr << "snowshore: " << error.what() << "\n";
    return 2;
  }
}

} // namespace snowshore::program
