// The front's configuration and state, as management reaches them: sets in their order, each whole or not at
// all (transaction.h), the revision in force and the state of the front as shared copies for readers. May be
// called by any thread; sets are made one at a time, reads never wait for a set. Times are seconds.
#pragma once
#include "management/transaction.h"
#include "model/model.h"
#include "site/front_record.h"
#include "site/front_state.h"
#include "store/store.h"
#include "telemetry/loop_clock.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace snowshore::management {

struct FrontStopping : std::runtime_error { // the front ends and takes no more calls
  FrontStopping() : std::runtime_error("the front is ending") {}
};

class FrontControl { // the running front; calls are carried out on its executor, and wait. May throw Ending.
 public:
  virtual ~FrontControl() = default;
  virtual std::optional<std::string> check_config(const site::FrontConfig &next, bool drained) = 0;
  virtual std::optional<std::string> apply_config(const site::FrontConfig &next, bool drained) = 0;
  virtual site::FrontSnapshot state() = 0;
};

struct RunningConfig { // a copy for readers, never changed
  std::uint64_t revision = 0;
  std::string document;
  site::ManagementSettings terms;
  double confirm_deadline = 0; // 0: confirmed
  std::string commit_id;       // of one that awaits its confirmation
};

class ConfigManager final : ConfigTarget {
 public:
  ConfigManager(const model::Model &model, store::Store &store, std::size_t history, std::string version);

  // Before the front runs: reads the history back and returns the record that is in force. from_files becomes
  // a revision when the files say something else than when they were last read. Throws StoreError, Fault,
  // RecordError, and std::runtime_error for a history whose last revision cannot run.
  site::FrontConfig start(const site::FrontConfig &from_files);
  // From now on sets reach it; nullptr: it has ended. The port must outlive the manager's calls.
  void attach(FrontControl *front);

  struct Request {
    std::vector<model::Edit> edits;
    std::string user, cause;
    std::optional<std::uint64_t> expected_revision;
    double confirm_within = 0;
    std::string commit_id = {};
  };
  ChangeResult set(const Request &request);
  ChangeResult confirm(std::uint64_t revision, const std::string &user);
  ChangeResult cancel(std::uint64_t revision, const std::string &user);
  ChangeResult roll_back(std::uint64_t revision, const std::string &user);
  // The record's files as they are now, whole, in place of what is in force.
  ChangeResult apply_files(const site::FrontConfig &from_files, const std::string &user);
  std::optional<double> roll_back_expired(); // undoes what is due; seconds until the next undoing

  std::shared_ptr<const RunningConfig> running_config() const;
  // Waits until another revision than this is in force, at most so long; false: none came.
  bool wait_for_change(std::uint64_t revision, double seconds) const;
  std::string state_json();         // of the model's /state, no older than snapshot_every. May throw Ending.
  std::string history_json() const; // of the model's /state/history
  std::optional<std::string> document_at(std::uint64_t revision) const;
  std::vector<Revision> history() const; // without documents
  double now() const;                    // epoch seconds that never step back, not even over a restart

  void add_streams(int more); // subscriptions begun and ended
  void count_cancelled_stream();
  std::size_t active_streams() const { return static_cast<std::size_t>(streams_.load()); }
  // Where a named subscriber has got to; durable where the store is not in use at the moment.
  void record_position(const std::string &subscriber, std::uint64_t revision, bool durable);
  const model::Model &model() const { return model_; }

 private:
  std::optional<Rejection> check(const std::string &document) override;
  std::optional<std::string> apply(const std::string &document) override;
  struct Checked { // a document that was read, so that one set reads it once
    std::string document;
    site::FrontConfig record;
    bool drained = false;             // against what the front has
    std::optional<std::string> fixed; // a path that only a new start can change
  };
  const Checked &checked(const std::string &document);
  template <class F> ChangeResult run_change(F call);
  void publish();

  const model::Model &model_;
  store::Store &store_;
  const std::string version_;
  std::mutex sets_; // held over a whole set
  Transactions transactions_;
  std::atomic<FrontControl *> front_{nullptr};
  std::string running_; // the document that the front has; empty: none yet
  std::optional<Checked> checked_;
  bool lost_track_ = false;
  std::atomic<int> waiting_{0}, streams_{0};
  std::atomic<std::uint64_t> taken_{0}, refused_{0}, cut_{0};
  mutable std::mutex held_; // the copies below
  mutable std::condition_variable changed_;
  std::shared_ptr<const RunningConfig> running_config_;
  std::map<std::uint64_t, Revision> revisions_;
  std::map<std::string, std::uint64_t> positions_;
  std::mutex state_mutex_;
  std::string state_;
  double state_at_ = -1e9;
  telemetry::LoopClock clock_;
  double ahead_ = 0; // of the last revision before the clock, at the start
};

} // namespace snowshore::management
