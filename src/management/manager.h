// Access of management to the front's configuration and state. Sets are carried out in their order, each as a
// whole or not at all (transaction.h). Readers get the configuration in force and the front's state as shared
// copies. Any thread may call; sets run one at a time, and reads never wait for a set. Times are in seconds.
#pragma once
#include "config/front_config.h"
#include "config/front_snapshot.h"
#include "management/transaction.h"
#include "model/model.h"
#include "store/store.h"
#include "telemetry/loop_clock.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace snowshore::management {

// The front is shutting down and takes no more calls.
struct FrontStopping : std::runtime_error {
  FrontStopping() : std::runtime_error("the front is shutting down") {}
};

// The running front. A call runs on the front's executor and blocks until it is done. Throws FrontStopping.
class FrontControl {
 public:
  virtual ~FrontControl() = default;
  // Returns why the front would reject the configuration, or nullopt. `drained`: the change contains a value
  // that the front can take only while it has no plays.
  virtual std::optional<std::string> check_config(const config::FrontConfig &next, bool drained) = 0;
  // Returns why the front did not take the configuration, or nullopt.
  virtual std::optional<std::string> apply_config(const config::FrontConfig &next, bool drained) = 0;
  virtual config::FrontSnapshot state() = 0;
};

// An immutable copy of the revision in force, for readers.
struct RunningConfig {
  std::uint64_t revision = 0;
  std::string document;
  config::ManagementSettings terms;
  double confirm_deadline = 0; // epoch seconds; 0: confirmed
  std::string commit_id;       // of a revision that awaits its confirmation
};

class ConfigManager final : ConfigTarget {
 public:
  // `history` is the number of revisions to keep, `version` the program's version in /state/build.
  ConfigManager(const model::Model &model, store::Store &store, std::size_t history, std::string version);

  // Runs before the front starts: reads the history and returns the record in force. from_files becomes a new
  // revision if the files have changed since they were last read. Throws StoreError, ModelError, RecordError,
  // and std::runtime_error if the last revision of the history cannot run.
  config::FrontConfig start(const config::FrontConfig &from_files);
  // Sets the front that sets act on; nullptr: the front has stopped. It must outlive the manager's calls.
  void attach(FrontControl *front);

  struct Request {
    std::vector<model::Edit> edits;
    std::string user, cause;
    std::optional<std::uint64_t> expected_revision;
    double confirm_within = 0;
    std::string commit_id = {};
  };
  // The calls that change the configuration block until the change is in force and durable, or has failed.
  ChangeResult set(const Request &request);
  ChangeResult confirm(std::uint64_t revision, const std::string &user);
  ChangeResult cancel(std::uint64_t revision, const std::string &user);
  ChangeResult roll_back(std::uint64_t revision, const std::string &user);
  // Replaces the whole configuration by that of the record files.
  ChangeResult apply_files(const config::FrontConfig &from_files, const std::string &user);
  // Rolls back an unconfirmed change whose deadline has passed. Returns the seconds until the next deadline.
  std::optional<double> roll_back_expired();

  std::shared_ptr<const RunningConfig> running_config() const;
  // Waits until another revision than this one is in force. Returns false after the timeout.
  bool wait_for_change(std::uint64_t revision, double seconds) const;
  // Returns the model's /state without the history, at most snapshot_every seconds old. Throws FrontStopping.
  std::string state_json();
  // Returns the model's /state/history.
  std::string history_json() const;
  std::optional<std::string> document_at(std::uint64_t revision) const;
  // Returns the kept revisions, with empty documents.
  std::vector<Revision> history() const;
  // Returns epoch seconds that never step back, not even across a restart.
  double now() const;

  // Adds to the number of subscriptions in progress; -1 when one ends.
  void add_streams(int more);
  void count_cancelled_stream();
  std::size_t active_streams() const { return static_cast<std::size_t>(active_streams_.load()); }
  // Records how far a named subscriber has got. The position is written to the store only if `durable` is set
  // and no set is using the store.
  void record_position(const std::string &subscriber, std::uint64_t revision, bool durable);
  const model::Model &model() const { return model_; }

 private:
  std::optional<Rejection> check(const std::string &document) override;
  std::optional<std::string> apply(const std::string &document) override;
  // A document with its record, cached so that one set parses it once.
  struct ParsedConfig {
    std::string document;
    config::FrontConfig record;
    // Whether the difference to applied_document_ needs a front without plays.
    bool drained = false;
    // A changed path that takes effect only at a new start.
    std::optional<std::string> restart_path;
  };
  const ParsedConfig &parse_config(const std::string &document);
  // Runs a change under change_mutex_, limits the number of waiting ones and translates exceptions.
  template <class F> ChangeResult run_change(F call);
  // Updates the copies for readers after a change.
  void publish();

  const model::Model &model_;
  store::Store &store_;
  const std::string version_;
  std::mutex change_mutex_; // held during a whole change
  Transactions transactions_;
  std::atomic<FrontControl *> front_{nullptr};
  std::string applied_document_; // what the front runs with; empty before the first one
  std::optional<ParsedConfig> parsed_config_;
  // The store has failed, and it is not known which revision is durable.
  bool store_uncertain_ = false;
  std::atomic<int> pending_changes_{0}, active_streams_{0};
  std::atomic<std::uint64_t> accepted_{0}, rejected_{0}, cancelled_streams_{0};
  mutable std::mutex published_mutex_; // guards the members up to positions_
  mutable std::condition_variable published_;
  std::shared_ptr<const RunningConfig> running_config_;
  std::map<std::uint64_t, Revision> revisions_;
  std::map<std::string, std::uint64_t> positions_;
  std::mutex state_mutex_; // guards cached_state_ and cached_state_at_
  std::string cached_state_;
  double cached_state_at_ = -1e9;
  telemetry::LoopClock clock_;
  // Seconds by which the last revision was ahead of the clock at the start. now() adds them, so that it does
  // not step back when the clock was set back.
  double clock_offset_ = 0;
};

} // namespace snowshore::management
