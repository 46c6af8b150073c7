#include "edge/plays.h"

#include <stdexcept>

namespace snowshore::edge {

namespace {

using S = PlayState;

// From what to what a play may go; anything else is a defect of the front and stops it.
constexpr bool allowed(S from, S to) {
  switch (from) {
  case S::unused:
    return to == S::requested;
  case S::requested:
    return to == S::allocating || to == S::answered || to == S::unused || to == S::playing;
  case S::allocating:
    return to == S::requested || to == S::playing || to == S::abandoned;
  case S::playing:
    return to == S::unused;
  case S::abandoned:
    return to == S::unused;
  case S::answered:
    return to == S::unused;
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
  set_state(index, S::requested);
  return index;
}

int PlayTable::find(std::uint64_t id) const {
  auto it = by_id_.find(id);
  return it == by_id_.end() ? -1 : it->second;
}

void PlayTable::set_state(int index, PlayState next) {
  PlayRecord &play = at(index);
  if (!allowed(play.state, next))
    throw std::logic_error("play " + std::to_string(play.id) + " cannot go from " + name_of(play.state) +
                           " to " + name_of(next));
  if ((play.state == S::playing) != (next == S::playing)) update_server_index(index, next == S::playing);
  if (play.state != S::unused) --counts_[static_cast<std::size_t>(play.state)];
  if (next != S::unused) ++counts_[static_cast<std::size_t>(next)];
  play.state = next;
  if (next != S::unused) return;
  by_id_.erase(play.id);
  play = {};
  unused_.push_back(index);
}

void PlayTable::update_server_index(int index, bool plays) {
  PlayRecord &play = at(index);
  if (play.server < 0) return;
  auto place = static_cast<std::size_t>(play.server);
  if (place >= playing_at_.size()) playing_at_.resize(place + 1);
  std::vector<int> &there = playing_at_[place];
  if (plays) {
    play.server_position = there.size();
    there.push_back(index);
    servers_with_plays_.add(play.server);
    return;
  }
  at(there.back()).server_position = play.server_position; // the last takes its place
  there[play.server_position] = there.back();
  there.pop_back();
  if (there.empty()) servers_with_plays_.remove(play.server);
}

} // namespace snowshore::edge
