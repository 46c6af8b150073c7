#include "program/run.h"
#include "edge/serve.h"
#include "program/beside.h"

#include <iostream>

namespace snowshore::program {

namespace {

using edge::Edge;
using site::FrontConfig;

// For whoever waits for the ports.
void write_ports(const std::string &file, const Edge &edge, int management) {
  if (file.empty()) return;
  records::replace_file(file, "{\"players\": " + std::to_string(edge.players().port()) +
                                  ", \"operators\": " + std::to_string(edge.operators().port()) +
                                  ", \"management\": " + std::to_string(management) + "}\n");
}

} // namespace

int run_edge(const std::vector<std::string> &files, const std::string &version,
             edge::DecisionEngineFactory make) {
  try {
    asio::io_context io(1);
    asio::signal_set signals = edge::keep_signals(io);
    FrontConfig record = site::load_front_config(files);
    std::unique_ptr<Beside> beside = make_beside(record, version);
    if (beside) record = beside->start(record);
    telemetry::Log log(record.log_target, telemetry::parse_log_level(record.log_level));
    auto source = edge::watch_files(io, record.list_file, record.catalogue_file);
    if (source->is_polling())
      log.warning("list_polled", {{"cause", "the system has no file watch left to give"}});
    std::string ports = record.ports_file;
    Edge edge(io, record, log, std::move(source), std::move(make));
    struct AtEnd {
      Beside *beside;
      ~AtEnd() {
        if (beside) beside->detach();
      }
    } at_end{beside.get()};
    int management_port = beside ? beside->attach(io, edge, log) : 0;
    edge.on_changed = [&] { write_ports(ports, edge, management_port); };
    write_ports(ports, edge, management_port);
    log.info("serving", {{"players", edge.players().port()},
                         {"operators", edge.operators().port()},
                         {"management", management_port}});

    bool draining = false;
    auto read_again = [&] {
      if (draining) throw std::runtime_error("the front drains");
      if (beside) return beside->take_files(site::load_front_config(files));
      log.info("reloaded", {{"needs_restart", edge.reload(site::load_front_config(files))}});
    };
    edge::serve(io, signals, edge.clock(), log, {read_again, [&](std::function<void()> done) {
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
