// One change of the running configuration at a time: whole or not at all, durable before it is answered,
// undone when it is not confirmed in time. No I/O and no clock here: what is durable and what runs stand
// behind two interfaces, times come as values (epoch seconds). Calls may throw what a Journal throws;
// recover() then finds the old revision or the new one, whole.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snowshore::management {

struct Revision {
  std::uint64_t number = 0;
  std::string document; // the whole configuration
  std::string user, cause;
  double committed_at = 0;
  double confirm_deadline = 0; // 0: confirmed
  std::uint64_t revert_to = 0; // the revision that an unconfirmed change, or a rollback, returns to
  std::string commit_id;       // the client's name for an unconfirmed change
};

class Journal { // durable: append returns once the revision would survive a crash, or throws and it may or
                // may not
 public:
  virtual ~Journal() = default;
  virtual std::vector<Revision>
  read_revisions() const = 0; // in the order of their numbers, the last of a number in force
  virtual void append(const Revision &revision) = 0;
};

// invalid: never right; not_now: right, and in the way of what is in hand; not_applied: tried and taken back.
// overloaded, not_stored and ending come from the manager around it.
enum class ChangeError {
  none,
  invalid,
  conflict,
  stale_revision,
  unconfirmed_change,
  apply_failed,
  unknown_revision,
  too_many_pending,
  storage_failed,
  front_stopping
};
const char *name_of(ChangeError error);

struct Rejection {
  ChangeError error = ChangeError::invalid;
  std::string message;
};

class ConfigTarget { // the front: takes a configuration whole, or refuses it and goes on with the one it has
 public:
  virtual ~ConfigTarget() = default;
  virtual std::optional<Rejection>
  check(const std::string &document) = 0; // why it would not run; none: it would
  virtual std::optional<std::string> apply(const std::string &document) = 0; // why it was not taken
};

struct ChangeResult {
  ChangeError error = ChangeError::none;
  std::string message;
  std::uint64_t revision = 0; // in force after the call
};

class Transactions {
 public:
  enum class State { empty, confirmed, awaiting_confirmation };

  // Keeps the newest so many revisions in hand, as the journal does.
  Transactions(Journal &journal, ConfigTarget &running, std::size_t kept = 1000)
      : journal_(journal), running_(running), kept_(kept) {}

  // Reads the history and applies the revision that holds; an unconfirmed one whose time is over is undone.
  // With no history, first becomes revision 1.
  ChangeResult recover(const std::string &first, double now);
  struct Change {
    std::string document, user, cause;
    std::optional<std::uint64_t>
        expected_revision;     // the revision that the client had read; an older one is refused
    double confirm_within = 0; // 0: no confirmation is asked for
    std::string commit_id = {};
  };
  ChangeResult set(const Change &change, double now);
  // Undoes an unconfirmed change now, without waiting for its time.
  ChangeResult cancel(std::uint64_t revision, const std::string &user, double now);
  ChangeResult confirm(std::uint64_t revision, const std::string &user, double now);
  ChangeResult roll_back(std::uint64_t revision, const std::string &user, double now); // as a new revision
  ChangeResult roll_back_expired(double now); // undoes what was not confirmed in time
  std::optional<double> next_due() const;

  State state() const { return state_; }
  const Revision &current() const { return history_.back(); }
  const std::vector<Revision> &history() const { return history_; }
  const Revision *find(std::uint64_t number) const; // none: never there, or no longer kept

 private:
  ChangeResult commit(Revision next);
  ChangeResult refused(ChangeError error, std::string why) const;
  void become(State next) { state_ = next; } // the one place where the state changes
  void settle();

  void keep(Revision revision);
  Journal &journal_;
  ConfigTarget &running_;
  std::size_t kept_;
  std::vector<Revision> history_; // in the order of their numbers, without a gap
  State state_ = State::empty;
};

} // namespace snowshore::management
