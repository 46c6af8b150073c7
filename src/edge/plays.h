// The plays that the front has in hand, in reused places; a place is the play's index at the module. The
// table of states stands in docs/architecture.md; become() is the one place where a state changes.
#pragma once
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

enum class PlayState { vacant, asked, allocating, playing, leaving, answered };
inline constexpr std::size_t kPlayStates = 6;
const char *name_of(PlayState state);

enum class Cause {
  none,
  no_rung,     // declined with no allocation made: no rung passed, or a limit of the terms
  busy,        // the last allocation was turned away
  timed_out,   // or got no answer
  unreachable, // or no connection
  reset,       // or lost it
  error,       // or was answered with an error
  overdue,     // the front's own guard: the time limit had passed without an answer
};
inline constexpr std::size_t kCauses = 8;
const char *name_of(Cause cause);
Cause cause_of(Outcome outcome);

struct HeldPlay {
  PlayState state = PlayState::vacant;
  std::uint64_t id = 0; // the door's
  int product = 0, title = 0, server = -1, rung = 0;
  int allocation = -1;      // the number of the last one
  std::uint64_t serial = 0; // of all plays that this front took
  double asked_at = 0, limit_at = 0, started_at = 0;
  double added = 0, resumed_at = 0; // the front's own time so far; when it last took the play in hand
  Cause cause = Cause::none;
  bool answered = false; // its one answer went out
  std::size_t place = 0; // among those that play at its server
};

class Plays {
 public:
  int take(std::uint64_t id); // a vacant place, now asked
  HeldPlay &at(int index) { return plays_[static_cast<std::size_t>(index)]; }
  int find(std::uint64_t id) const; // below 0: not in hand
  void become(int index, PlayState next);
  std::size_t open() const { return by_id_.size(); }
  std::size_t places() const { return plays_.size(); }
  std::size_t count(PlayState state) const { return counts_[static_cast<std::size_t>(state)]; }
  // Those that play at this server, and the servers at which any do.
  std::span<const int> playing_at(int server) const {
    auto place = static_cast<std::size_t>(server);
    return place < playing_at_.size() ? std::span<const int>(playing_at_[place]) : std::span<const int>();
  }
  const SortedIndices &servers_with_plays() const { return servers_with_plays_; }
  template <class F> void each(F f) { // f may change states
    for (std::size_t i = 0; i < plays_.size(); ++i) {
      if (plays_[i].state != PlayState::vacant) f(static_cast<int>(i));
    }
  }

 private:
  void keep_by_server(int index, bool plays);

  std::vector<HeldPlay> plays_;
  std::vector<std::vector<int>> playing_at_; // plays, by server
  SortedIndices servers_with_plays_;
  std::vector<int> vacant_;
  std::unordered_map<std::uint64_t, int> by_id_;
  std::array<std::size_t, kPlayStates> counts_{};
};

} // namespace snowshore::edge
