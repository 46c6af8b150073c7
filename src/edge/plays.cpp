#include "edge/plays.h"

#include <stdexcept>

namespace snowshore::edge {

namespace {

using S = PlayState;

// From what to what a play may go; anything else is a defect of the front and stops it.
constexpr bool allowed(S from, S to) {
  switch (from) {
  case S::vacant:
    return to == S::asked;
  case S::asked:
    return to == S::allocating || to == S::answered || to == S::vacant || to == S::playing;
  case S::allocating:
    return to == S::asked || to == S::playing || to == S::leaving;
  case S::playing:
    return to == S::vacant;
  case S::leaving:
    return to == S::vacant;
  case S::answered:
    return to == S::vacant;
  }
  return false;
}

} // namespace

const char *name_of(PlayState state) {
  constexpr const char *kNames[] = {"vacant", "asked", "allocating", "playing", "leaving", "answered"};
  return kNames[static_cast<int>(state)];
}

const char *name_of(Cause cause) {
  constexpr const char *kNames[] = {"none",        "no_rung", "busy",  "timed_out",
                                    "unreachable", "reset",   "error", "overdue"};
  return kNames[static_cast<int>(cause)];
}

Cause cause_of(Outcome outcome) {
  switch (outcome) {
  case Outcome::busy:
    return Cause::busy;
  case Outcome::timed_out:
    return Cause::timed_out;
  case Outcome::unreachable:
  case Outcome::skipped:
    return Cause::unreachable;
  case Outcome::reset:
    return Cause::reset;
  default:
    return Cause::error;
  }
}

int Plays::take(std::uint64_t id) {
  int index;
  if (vacant_.empty()) {
    index = static_cast<int>(plays_.size());
    plays_.emplace_back();
  } else {
    index = vacant_.back();
    vacant_.pop_back();
    at(index) = {};
  }
  at(index).id = id;
  by_id_[id] = index;
  become(index, S::asked);
  return index;
}

int Plays::find(std::uint64_t id) const {
  auto it = by_id_.find(id);
  return it == by_id_.end() ? -1 : it->second;
}

void Plays::become(int index, PlayState next) {
  HeldPlay &play = at(index);
  if (!allowed(play.state, next))
    throw std::logic_error("play " + std::to_string(play.id) + " cannot go from " + name_of(play.state) +
                           " to " + name_of(next));
  if ((play.state == S::playing) != (next == S::playing)) keep_by_server(index, next == S::playing);
  if (play.state != S::vacant) --counts_[static_cast<std::size_t>(play.state)];
  if (next != S::vacant) ++counts_[static_cast<std::size_t>(next)];
  play.state = next;
  if (next != S::vacant) return;
  by_id_.erase(play.id);
  play = {};
  vacant_.push_back(index);
}

void Plays::keep_by_server(int index, bool plays) {
  HeldPlay &play = at(index);
  if (play.server < 0) return;
  auto place = static_cast<std::size_t>(play.server);
  if (place >= playing_at_.size()) playing_at_.resize(place + 1);
  std::vector<int> &there = playing_at_[place];
  if (plays) {
    play.place = there.size();
    there.push_back(index);
    servers_with_plays_.add(play.server);
    return;
  }
  at(there.back()).place = play.place; // the last takes its place
  there[play.place] = there.back();
  there.pop_back();
  if (there.empty()) servers_with_plays_.remove(play.server);
}

} // namespace snowshore::edge
