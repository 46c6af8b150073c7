// Changes of the running configuration, one at a time. A change takes effect as a whole or not at all, is
// durable before it is answered, and is rolled back unless it is confirmed in time, if it asks for that. This
// module does no I/O and reads no clock: the journal and the front are behind two interfaces, and times are
// arguments, in epoch seconds. Calls throw what the Journal throws; recover() then finds either the old
// revision or the new one.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snowshore::management {

struct Revision {
  std::uint64_t number = 0;
  std::string document; // the whole configuration, see model/model.h
  std::string user, cause;
  double committed_at = 0;
  // When an unconfirmed change is rolled back; 0: confirmed.
  double confirm_deadline = 0;
  // The revision that an unconfirmed change or a rollback returns to.
  std::uint64_t revert_to = 0;
  // The client's name for an unconfirmed change.
  std::string commit_id;
};

// The durable history.
class Journal {
 public:
  virtual ~Journal() = default;
  // Returns the revisions in the order of their numbers. Of several with one number the last counts.
  virtual std::vector<Revision> read_revisions() const = 0;
  // Returns once the revision would survive a crash. If it throws, the revision may or may not be durable.
  virtual void append(const Revision &revision) = 0;
};

// Why a change is rejected.
enum class ChangeError {
  none,
  // The document or the request is never acceptable.
  invalid,
  // The change is valid, but the front cannot take it in its present state.
  conflict,
  // Another revision is in force than the one that the client read.
  stale_revision,
  // A revision that awaits its confirmation is in force.
  unconfirmed_change,
  // The front failed to apply the change, and the previous configuration was restored.
  apply_failed,
  unknown_revision,
  // ConfigManager reports the following three.
  too_many_pending,
  storage_failed,
  front_stopping
};
const char *name_of(ChangeError error);

struct Rejection {
  ChangeError error = ChangeError::invalid;
  std::string message;
};

// The front. It takes a configuration as a whole, or rejects it and continues with the one that it has.
class ConfigTarget {
 public:
  virtual ~ConfigTarget() = default;
  // Returns why the configuration would be rejected, or nullopt.
  virtual std::optional<Rejection> check(const std::string &document) = 0;
  // Returns why the configuration was not applied, or nullopt.
  virtual std::optional<std::string> apply(const std::string &document) = 0;
};

struct ChangeResult {
  ChangeError error = ChangeError::none;
  std::string message;
  std::uint64_t revision = 0; // in force after the call
};

class Transactions {
 public:
  enum class State { empty, confirmed, awaiting_confirmation };

  // Keeps the newest max_revisions revisions in memory, as the journal does on disk.
  Transactions(Journal &journal, ConfigTarget &target, std::size_t max_revisions = 1000)
      : journal_(journal), target_(target), max_revisions_(max_revisions) {}

  // Reads the history and applies its last revision; an unconfirmed one whose deadline has passed is rolled
  // back. Without a history, initial_document becomes revision 1.
  ChangeResult recover(const std::string &initial_document, double now);
  struct Change {
    std::string document, user, cause;
    // The revision that the client read. The change is rejected if another one is in force.
    std::optional<std::uint64_t> expected_revision;
    // Seconds until the change is rolled back unless it is confirmed; 0: it needs no confirmation.
    double confirm_within = 0;
    std::string commit_id = {};
  };
  ChangeResult set(const Change &change, double now);
  // Rolls an unconfirmed change back before its deadline.
  ChangeResult cancel(std::uint64_t revision, const std::string &user, double now);
  ChangeResult confirm(std::uint64_t revision, const std::string &user, double now);
  // Commits the document of an earlier revision as a new revision.
  ChangeResult roll_back(std::uint64_t revision, const std::string &user, double now);
  // Rolls back an unconfirmed change whose deadline has passed. Does nothing otherwise.
  ChangeResult roll_back_expired(double now);
  // Returns the deadline of an unconfirmed change.
  std::optional<double> next_due() const;

  State state() const { return state_; }
  const Revision &current() const { return history_.back(); }
  const std::vector<Revision> &history() const { return history_; }
  // Returns null for a revision that never existed or is no longer kept.
  const Revision *find(std::uint64_t number) const;

 private:
  ChangeResult commit(Revision next);
  ChangeResult failure(ChangeError error, std::string message) const;
  // The only place where the state changes.
  void set_state(State next) { state_ = next; }
  // Derives the state from the current revision.
  void update_state();

  void append_history(Revision revision);
  Journal &journal_;
  ConfigTarget &target_;
  std::size_t max_revisions_;
  std::vector<Revision> history_; // in the order of their numbers, without a gap
  State state_ = State::empty;
};

} // namespace snowshore::management
