#include "edge/edge.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace snowshore::edge {

namespace {

constexpr int kTurnLimit = 256; // handlers of one turn, all under one clock reading

// Written whole beside and renamed over, for whoever waits for the ports.
void write_ports(const std::string &file, const Edge &edge) {
  if (file.empty()) return;
  std::ofstream out(file + ".new");
  out << "{\"players\": " << edge.players().port() << ", \"operators\": " << edge.operators().port() << "}\n";
  out.close();
  if (!out || std::rename((file + ".new").c_str(), file.c_str()) != 0)
    throw std::runtime_error("cannot write " + file);
}

} // namespace

int run_edge(const std::vector<std::string> &files, MakeFront make) {
  try {
    FrontRecord record = site::load_front(files);
    telemetry::Log log(record.log_where, telemetry::level_of(record.log_level));
    asio::io_context io(1);
    auto source = watch_files(io, record.list_file, record.catalogue_file);
    std::string ports = record.ports_file;
    Edge edge(io, std::move(record), log, std::move(source), std::move(make));
    write_ports(ports, edge);
    log.info("serving", {{"players", edge.players().port()}, {"operators", edge.operators().port()}});

    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait = [&] {
      signals.async_wait([&](asio::error_code error, int signal) {
        if (error) return;
        if (signal != SIGHUP) {
          log.info("draining", {{"signal", signal}});
          edge.drain([&] {
            log.info("drained");
            io.stop();
          });
          return;
        }
        try {
          FrontRecord next = site::load_front(files);
          std::vector<std::string> rest = edge.reload(next);
          log.info("reloaded", {{"needs_restart", rest}});
        } catch (const std::exception &bad) {
          log.error("reload_refused", {{"cause", bad.what()}}); // whole: the old record stays in force
        }
        wait();
      });
    };
    wait();
    while (!io.stopped()) {
      edge.clock().turn();
      if (io.run_one() == 0) break;
      for (int i = 0; i < kTurnLimit && io.poll_one() > 0; ++i) {
      }
    }
    return 0;
  } catch (const records::RecordError &error) {
    std::cerr << error.what() << "\n";
    return 2;
  } catch (const std::exception &error) {
    std::cerr << "snowshore: " << error.what() << "\n";
    return 2;
  }
}

} // namespace snowshore::edge
