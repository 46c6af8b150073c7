// The management interface in the edge's process: its own threads, which reach the edge through its executor.
#include "management/service.h"
#include "program/management_interface.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace snowshore::program {

namespace {

using config::FrontConfig;
using edge::Edge;
using management::ConfigManager;

// Calls the edge on its executor for management's threads: a call is posted, and the calling thread waits for
// its result. After stop(), all calls throw FrontStopping, also those that wait.
class ExecutorFrontControl final : public management::FrontControl {
 public:
  ExecutorFrontControl(asio::io_context &io, Edge &edge) : io_(io), edge_(edge) {}
  std::optional<std::string> check_config(const FrontConfig &next, bool drained) override {
    return call<std::optional<std::string>>(
        [this, next, drained] { return edge_.check_config(next, drained); });
  }
  std::optional<std::string> apply_config(const FrontConfig &next, bool drained) override {
    return call<std::optional<std::string>>(
        [this, next, drained] { return edge_.apply_config(next, drained); });
  }
  config::FrontSnapshot state() override {
    return call<config::FrontSnapshot>([this] { return edge_.state(); });
  }
  // Called in the executor's thread.
  void stop() {
    std::lock_guard lock(mutex_);
    stopped_ = true;
    state_changed_.notify_all();
  }

 private:
  // Returns the function's value, or throws what it threw.
  template <class Result, class Function> Result call(Function function) {
    struct CallResult {
      std::optional<Result> value;
      std::exception_ptr error;
    };
    auto call_result = std::make_shared<CallResult>();
    std::unique_lock lock(mutex_);
    if (stopped_) throw management::FrontStopping();
    asio::post(io_, [this, call_result, function = std::move(function)] {
      std::optional<Result> value;
      std::exception_ptr error;
      try {
        value = function();
      } catch (...) {
        error = std::current_exception();
      }
      std::lock_guard result_lock(mutex_);
      call_result->value = std::move(value);
      call_result->error = error;
      state_changed_.notify_all();
    });
    state_changed_.wait(lock, [&] { return stopped_ || call_result->value || call_result->error; });
    if (call_result->error) std::rethrow_exception(call_result->error);
    if (!call_result->value) throw management::FrontStopping();
    return std::move(*call_result->value);
  }
  asio::io_context &io_;
  Edge &edge_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool stopped_ = false;
};

// The store, the manager of configurations and the gNMI service of one front end.
class EmbeddedManagement final : public ManagementInterface {
 public:
  EmbeddedManagement(const FrontConfig &config, const std::string &version)
      : settings_(config.management), store_(config.management.store, config.management.max_history),
        manager_(model_, store_, config.management.max_history, version) {}
  ~EmbeddedManagement() override { detach(); }

  FrontConfig start(const FrontConfig &config) override { return manager_.start(config); }

  int attach(asio::io_context &io, Edge &edge, telemetry::Log &log) override {
    io_ = &io;
    log_ = &log;
    front_control_ = std::make_unique<ExecutorFrontControl>(io, edge);
    manager_.attach(front_control_.get());
    service_ = std::make_unique<management::Service>(manager_, settings_);
    return service_->port();
  }

  void apply_files(const FrontConfig &next) override {
    if (reload_thread_.joinable()) reload_thread_.join();
    reload_thread_ = std::thread([this, next] {
      management::ChangeResult result = manager_.apply_files(next, "SIGHUP");
      asio::post(*io_, [log = log_, result] {
        if (result.error == management::ChangeError::none)
          log->info("reloaded", {{"revision", result.revision}});
        else
          // Nothing of the files was applied; the previous configuration stays in force.
          log->error("reload_refused", {{"cause", result.message}});
      });
    });
  }

  void detach() override {
    if (front_control_) front_control_->stop();
    if (reload_thread_.joinable()) reload_thread_.join();
    service_.reset();
    manager_.attach(nullptr);
    front_control_.reset();
  }

 private:
  config::ManagementSettings settings_;
  model::Model model_;
  store::Store store_;
  ConfigManager manager_;
  asio::io_context *io_ = nullptr;
  telemetry::Log *log_ = nullptr;
  std::unique_ptr<ExecutorFrontControl> front_control_;
  std::unique_ptr<management::Service> service_;
  // Applies the files on SIGHUP. It waits for calls on the executor, so it cannot run there.
  std::thread reload_thread_;
};

} // namespace

std::unique_ptr<ManagementInterface> make_management(const FrontConfig &config, const std::string &version) {
  if (config.management.listen.empty()) return nullptr;
  return std::make_unique<EmbeddedManagement>(config, version);
}

} // namespace snowshore::program
