#include "program/run.h"
#include "management/service.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace snowshore::program {

namespace {

using edge::Edge;
using management::Manager;
using site::FrontRecord;

constexpr int kTurnLimit = 256; // handlers of one turn, all under one clock reading

// For whoever waits for the ports.
void write_ports(const std::string &file, const Edge &edge, int management) {
  if (file.empty()) return;
  records::write_whole(file, "{\"players\": " + std::to_string(edge.players().port()) +
                                 ", \"operators\": " + std::to_string(edge.operators().port()) +
                                 ", \"management\": " + std::to_string(management) + "}\n");
}

// Management's threads reach the front through its executor: a call is posted, its answer waited for. Once
// shut, all calls end with Ending, also those that wait.
class PortOnExecutor final : public management::FrontPort {
 public:
  PortOnExecutor(asio::io_context &io, Edge &edge) : io_(io), edge_(edge) {}
  std::optional<std::string> refusal_of(const FrontRecord &next, bool drained) override {
    return call<std::optional<std::string>>(
        [this, next, drained] { return edge_.refusal_of(next, drained); });
  }
  std::optional<std::string> change(const FrontRecord &next, bool drained) override {
    return call<std::optional<std::string>>([this, next, drained] { return edge_.change(next, drained); });
  }
  site::FrontState state() override {
    return call<site::FrontState>([this] { return edge_.state(); });
  }
  void shut() {
    std::lock_guard lock(mutex_);
    shut_ = true;
    wake_.notify_all();
  }

 private:
  template <class R, class F> R call(F f) {
    struct Box {
      std::optional<R> result;
      std::exception_ptr error;
    };
    auto box = std::make_shared<Box>();
    std::unique_lock lock(mutex_);
    if (shut_) throw management::Ending();
    asio::post(io_, [this, box, f = std::move(f)] {
      std::optional<R> result;
      std::exception_ptr error;
      try {
        result = f();
      } catch (...) {
        error = std::current_exception();
      }
      std::lock_guard done(mutex_);
      box->result = std::move(result), box->error = error;
      wake_.notify_all();
    });
    wake_.wait(lock, [&] { return shut_ || box->result || box->error; });
    if (box->error) std::rethrow_exception(box->error);
    if (!box->result) throw management::Ending();
    return std::move(*box->result);
  }
  asio::io_context &io_;
  Edge &edge_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool shut_ = false;
};

// What stands beside the edge when the record asks for management.
struct Managed {
  Managed(const FrontRecord &record, const std::string &version)
      : store(record.management.store, record.management.history),
        manager(model, store, record.management.history, version) {}
  model::Model model;
  store::Store store;
  Manager manager;
};

} // namespace

int run_edge(const std::vector<std::string> &files, const std::string &version, edge::MakeFront make) {
  try {
    FrontRecord record = site::load_front(files);
    std::unique_ptr<Managed> managed;
    if (!record.management.listen.empty()) {
      managed = std::make_unique<Managed>(record, version);
      record = managed->manager.start(record);
    }
    telemetry::Log log(record.log_where, telemetry::level_of(record.log_level));
    asio::io_context io(1);
    auto source = edge::watch_files(io, record.list_file, record.catalogue_file);
    if (source->polls()) log.warning("list_polled", {{"cause", "the system has no file watch left to give"}});
    std::string ports = record.ports_file;
    Edge edge(io, record, log, std::move(source), std::move(make));
    PortOnExecutor port(io, edge);
    std::unique_ptr<management::Service> service;
    std::thread reading; // of the files on SIGHUP: it waits for the executor, so it cannot be on it
    struct AtEnd {
      std::function<void()> f;
      ~AtEnd() { f(); }
    } at_end{[&] {
      port.shut();
      if (reading.joinable()) reading.join();
      service.reset();
      if (managed) managed->manager.attach(nullptr);
    }};
    if (managed) {
      managed->manager.attach(&port);
      service = std::make_unique<management::Service>(managed->manager, record.management);
    }
    int management_port = service ? service->port() : 0;
    edge.on_changed = [&] { write_ports(ports, edge, management_port); };
    write_ports(ports, edge, management_port);
    log.info("serving", {{"players", edge.players().port()},
                         {"operators", edge.operators().port()},
                         {"management", management_port}});

    auto read_again = [&] {
      if (!managed) {
        log.info("reloaded", {{"needs_restart", edge.reload(site::load_front(files))}});
        return;
      }
      if (reading.joinable()) reading.join();
      reading = std::thread([&, next = site::load_front(files)] {
        management::Answer answer = managed->manager.take_files(next, "SIGHUP");
        asio::post(io, [&log, answer] {
          if (answer.refusal == management::Refusal::none)
            log.info("reloaded", {{"revision", answer.revision}});
          else
            log.error("reload_refused", {{"cause", answer.why}}); // whole: what was in force stays so
        });
      });
    };
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
          read_again();
        } catch (const std::exception &bad) {
          log.error("reload_refused", {{"cause", bad.what()}});
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

} // namespace snowshore::program
