// The table of plays: the allowed changes of state, and the indices by id and by server.
#include "edge/play_table.h"

#include <stdexcept>

namespace snowshore::edge {

namespace {

using State = PlayState;

// Returns whether a play may change from one state to the other. Any other change is a defect of the front
// end, for which set_state() throws.
constexpr bool is_allowed(State from, State to) {
  switch (from) {
  case State::unused:
    return to == State::requested;
  case State::requested:
    return to == State::allocating || to == State::answered || to == State::unused || to == State::playing;
  case State::allocating:
    return to == State::requested || to == State::playing || to == State::abandoned;
  case State::playing:
    return to == State::unused;
  case State::abandoned:
    return to == State::unused;
  case State::answered:
    return to == State::unused;
  }
  return false;
}

} // namespace

const char *name_of(PlayState state) {
  constexpr const char *kNames[] = {"vacant", "asked", "allocating", "playing", "leaving", "answered"};
  return kNames[static_cast<int>(state)];
}

const char *name_of(FailureCause cause) {
  constexpr const char *kNames[] = {"none",        "no_rung", "busy",  "timed_out",
                                    "unreachable", "reset",   "error", "overdue"};
  return kNames[static_cast<int>(cause)];
}

FailureCause cause_of(Outcome outcome) {
  switch (outcome) {
  case Outcome::busy:
    return FailureCause::busy;
  case Outcome::timed_out:
    return FailureCause::timed_out;
  case Outcome::unreachable:
  case Outcome::skipped:
    return FailureCause::unreachable;
  case Outcome::reset:
    return FailureCause::reset;
  default:
    return FailureCause::error;
  }
}

int PlayTable::add(std::uint64_t id) {
  int index;
  if (unused_.empty()) {
    index = static_cast<int>(plays_.size());
    plays_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
    at(index) = {};
  }
  at(index).id = id;
  by_id_[id] = index;
  set_state(index, State::requested);
  return index;
}

int PlayTable::find(std::uint64_t id) const {
  auto it = by_id_.find(id);
  return it == by_id_.end() ? -1 : it->second;
}

void PlayTable::set_state(int index, PlayState next) {
  PlayRecord &play = at(index);
  if (!is_allowed(play.state, next))
    throw std::logic_error("play " + std::to_string(play.id) + " cannot change from state " +
                           name_of(play.state) + " to " + name_of(next));
  if ((play.state == State::playing) != (next == State::playing))
    update_server_index(index, next == State::playing);
  if (play.state != State::unused) --counts_[static_cast<std::size_t>(play.state)];
  if (next != State::unused) ++counts_[static_cast<std::size_t>(next)];
  play.state = next;
  if (next != State::unused) return;
  by_id_.erase(play.id);
  play = {};
  unused_.push_back(index);
}

void PlayTable::update_server_index(int index, bool is_playing) {
  PlayRecord &play = at(index);
  if (play.server < 0) return;
  auto server_row = static_cast<std::size_t>(play.server);
  if (server_row >= playing_at_.size()) playing_at_.resize(server_row + 1);
  std::vector<int> &on_server = playing_at_[server_row];
  if (is_playing) {
    play.server_position = on_server.size();
    on_server.push_back(index);
    servers_with_plays_.add(play.server);
    return;
  }
  // The last play of the server takes the removed one's position.
  at(on_server.back()).server_position = play.server_position;
  on_server[play.server_position] = on_server.back();
  on_server.pop_back();
  if (on_server.empty()) servers_with_plays_.remove(play.server);
}

} // namespace snowshore::edge
