// The table of the plays that the front end currently holds. A play's position in the table is its index
// everywhere, also towards the decision engine, and is reused. docs/architecture.md has the table of states;
// set_state() is the only function that changes a state.
#pragma once
#include "decision/handover_verdict.h"
#include "decision/policy.h"
#include "decision/sorted_indices.h"

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace snowshore::edge {

// An `abandoned` play has lost its player while a set-up was pending; `unused` rows hold no play.
enum class PlayState { unused, requested, allocating, playing, abandoned, answered };
inline constexpr std::size_t kPlayStates = 6;
// The written name, as in logs and metrics.
const char *name_of(PlayState state);

// Why a play was declined or failed.
enum class FailureCause {
  none,
  // It was declined without an allocation: no rung was admissible, or a limit of the request forbade it.
  no_rung,
  // The server refused the last allocation.
  busy,
  // The last allocation got no answer in time.
  timed_out,
  // There was no connection for the last allocation.
  unreachable,
  // The last allocation lost its connection.
  reset,
  // The server answered the last allocation with an error.
  error,
  // The time limit passed without an answer; the core's own timer found it.
  deadline_passed,
};
inline constexpr std::size_t kCauses = 8;
// The written name, as in logs and metrics.
const char *name_of(FailureCause cause);
FailureCause cause_of(Outcome outcome);

// What is known of a play that was handed over.
struct HandoverRecord {
  HandoverState state = HandoverState::none;
  // When it was handed over, in seconds of the loop clock.
  double at = 0;
  HandoverReach reach = HandoverReach::unconnected;
  // This run has changed its rung, so that a note of the rung answers that.
  bool rung_changed = false;
};

// One row of the table. Times are seconds of the loop clock.
struct PlayRecord {
  PlayState state = PlayState::unused;
  // The id by which the player gateway knows the play.
  std::uint64_t id = 0;
  int product = 0, title = 0, server = -1, rung = 0;
  // Number of the last allocation.
  int allocation = -1;
  // Unique among all plays that this front end has held.
  std::uint64_t serial = 0;
  // started_at: when the play started to run; for one that was handed over, the latest time at which it can
  // have.
  double requested_at = 0, deadline = 0, started_at = 0;
  // When its server last showed that it holds the play; for one that was handed over, started_at at first.
  double held_at = 0;
  HandoverRecord handover;
  // Seconds that the front end itself has spent on the play, and when it last began to work on it.
  double processing_time = 0, processing_since = 0;
  FailureCause cause = FailureCause::none;
  // The play has not been passed to the engine yet.
  bool is_withheld = false;
  // The play's only answer has been sent.
  bool answered = false;
  // Position among the plays that run on its server, see playing_at().
  std::size_t server_position = 0;
};

class PlayTable {
 public:
  // Adds a play in state `requested` and returns its index.
  int add(std::uint64_t id);
  PlayRecord &at(int index) { return plays_[static_cast<std::size_t>(index)]; }
  // The index of the play with this id, or a negative value.
  int find(std::uint64_t id) const;
  // Throws std::logic_error where docs/architecture.md does not allow the change.
  void set_state(int index, PlayState next);
  // Number of plays that the table holds.
  std::size_t open_count() const { return by_id_.size(); }
  // Number of rows, used or not; all indices are below it.
  std::size_t capacity() const { return plays_.size(); }
  // Number of plays in this state.
  std::size_t count(PlayState state) const { return counts_[static_cast<std::size_t>(state)]; }
  // The plays that run on this server.
  std::span<const int> playing_at(int server) const {
    auto row = static_cast<std::size_t>(server);
    return row < playing_at_.size() ? std::span<const int>(playing_at_[row]) : std::span<const int>();
  }
  // The servers on which any play runs.
  const SortedIndices &servers_with_plays() const { return servers_with_plays_; }
  // Calls f with the index of each play; f may change states.
  template <class F> void for_each(F f) {
    for (std::size_t i = 0; i < plays_.size(); ++i) {
      if (plays_[i].state != PlayState::unused) f(static_cast<int>(i));
    }
  }

 private:
  // Adds the play to playing_at_ of its server where it starts to run, and removes it where it ends.
  void update_server_index(int index, bool is_playing);

  std::vector<PlayRecord> plays_;
  // Indices of running plays, by server.
  std::vector<std::vector<int>> playing_at_;
  SortedIndices servers_with_plays_;
  // Unused rows.
  std::vector<int> unused_;
  // Index of each play, by its id.
  std::unordered_map<std::uint64_t, int> by_id_;
  // Number of plays by state.
  std::array<std::size_t, kPlayStates> counts_{};
};

} // namespace snowshore::edge
