#include "management/service.h"
#include "program/beside.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace snowshore::program {

namespace {

using edge::Edge;
using management::ConfigManager;
using site::FrontConfig;

// Management's threads reach the front through its executor: a call is posted, its answer waited for. Once
// shut, all calls end with FrontStopping, also those that wait.
class PortOnExecutor final : public management::FrontControl {
 public:
  PortOnExecutor(asio::io_context &io, Edge &edge) : io_(io), edge_(edge) {}
  std::optional<std::string> check_config(const FrontConfig &next, bool drained) override {
    return call<std::optional<std::string>>(
        [this, next, drained] { return edge_.refusal_of(next, drained); });
  }
  std::optional<std::string> apply_config(const FrontConfig &next, bool drained) override {
    return call<std::optional<std::string>>([this, next, drained] { return edge_.change(next, drained); });
  }
  site::FrontSnapshot state() override {
    return call<site::FrontSnapshot>([this] { return edge_.state(); });
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
    if (shut_) throw management::FrontStopping();
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
    if (!box->result) throw management::FrontStopping();
    return std::move(*box->result);
  }
  asio::io_context &io_;
  Edge &edge_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool shut_ = false;
};

class Managed final : public Beside {
 public:
  Managed(const FrontConfig &record, const std::string &version)
      : terms_(record.management), store_(record.management.store, record.management.max_history),
        manager_(model_, store_, record.management.max_history, version) {}
  ~Managed() override { detach(); }

  FrontConfig start(const FrontConfig &record) override { return manager_.start(record); }

  int attach(asio::io_context &io, Edge &edge, telemetry::Log &log) override {
    io_ = &io, log_ = &log;
    port_ = std::make_unique<PortOnExecutor>(io, edge);
    manager_.attach(port_.get());
    service_ = std::make_unique<management::Service>(manager_, terms_);
    return service_->port();
  }

  void take_files(const FrontConfig &next) override {
    if (reading_.joinable()) reading_.join();
    reading_ = std::thread([this, next] {
      management::ChangeResult answer = manager_.apply_files(next, "SIGHUP");
      asio::post(*io_, [log = log_, answer] {
        if (answer.error == management::ChangeError::none)
          log->info("reloaded", {{"revision", answer.revision}});
        else
          log->error("reload_refused", {{"cause", answer.message}}); // whole: what was in force stays so
      });
    });
  }

  void detach() override {
    if (port_) port_->shut();
    if (reading_.joinable()) reading_.join();
    service_.reset();
    manager_.attach(nullptr);
    port_.reset();
  }

 private:
  site::ManagementSettings terms_;
  model::Model model_;
  store::Store store_;
  ConfigManager manager_;
  asio::io_context *io_ = nullptr;
  telemetry::Log *log_ = nullptr;
  std::unique_ptr<PortOnExecutor> port_;
  std::unique_ptr<management::Service> service_;
  std::thread reading_; // of the files on SIGHUP: it waits for the executor, so it cannot be on it
};

} // namespace

std::unique_ptr<Beside> make_beside(const FrontConfig &record, const std::string &version) {
  if (record.management.listen.empty()) return nullptr;
  return std::make_unique<Managed>(record, version);
}

} // namespace snowshore::program
