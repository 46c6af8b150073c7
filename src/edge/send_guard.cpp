#include "edge/send_guard.h"
#include "given/hex_id.h"

#include <numeric>

namespace snowshore::edge {

std::string_view name_of(Action action) {
  constexpr std::string_view kNames[] = {"attempt", "answer", "release", "connect", "exit"};
  static_assert(std::size(kNames) == kActions);
  return kNames[static_cast<std::size_t>(action)];
}

std::string_view name_of(Denial denial) {
  constexpr std::string_view kNames[] = {"none",        "not_waiting",      "another_attempt_out",
                                         "server_left", "drain_grace_over", "closing",
                                         "not_active",  "still_owed"};
  return kNames[static_cast<std::size_t>(denial)];
}

void SendGuard::server_told(int server, Standing standing, double now) {
  auto place = static_cast<std::size_t>(server);
  if (place >= servers_.size()) servers_.resize(place + 1);
  Told &its = servers_[place];
  if (standing != Standing::active && its.standing == Standing::active) its.leaves_since = now;
  its.standing = standing;
}

void SendGuard::server_forgotten(int server) {
  if (static_cast<std::size_t>(server) < servers_.size()) servers_[static_cast<std::size_t>(server)] = {};
}

Denial SendGuard::denial_of_attempt(const HeldPlay &session, int server, double now) const {
  if (session.state != PlayState::allocating) return Denial::not_waiting;
  if (out_.contains(session.id)) return Denial::another_attempt_out;
  if (now > closes_at_) return Denial::closing;
  if (static_cast<std::size_t>(server) >= servers_.size()) return Denial::none;
  const Told &told = servers_[static_cast<std::size_t>(server)];
  if (told.standing == Standing::left) return Denial::server_left;
  if (told.standing == Standing::leaving && now - told.leaves_since > drain_grace_)
    return Denial::drain_grace_over;
  return Denial::none;
}

bool SendGuard::may_attempt(const HeldPlay &session, int server, double now) {
  return decide(Action::attempt, denial_of_attempt(session, server, now), session.id, server);
}

bool SendGuard::may_answer(const HeldPlay &session) {
  bool waits = session.state == PlayState::asked || session.state == PlayState::allocating ||
               session.state == PlayState::playing;
  return decide(Action::answer, waits && !session.answered ? Denial::none : Denial::not_waiting, session.id,
                session.server);
}

bool SendGuard::may_release(const HeldPlay &session) {
  return decide(Action::release, session.state == PlayState::playing ? Denial::none : Denial::not_active,
                session.id, session.server);
}

bool SendGuard::has_left(int server) const {
  return static_cast<std::size_t>(server) < servers_.size() &&
         servers_[static_cast<std::size_t>(server)].standing == Standing::left;
}

bool SendGuard::may_connect(int server) {
  return decide(Action::connect, has_left(server) ? Denial::server_left : Denial::none, 0, server);
}

bool SendGuard::may_exit(bool owes, double now, double waits_until) {
  return decide(Action::exit, owes && now < waits_until ? Denial::still_owed : Denial::none, 0, -1);
}

std::uint64_t SendGuard::denied() const {
  return std::accumulate(denied_.begin(), denied_.end(), std::uint64_t{0});
}

bool SendGuard::decide(Action action, Denial denial, std::uint64_t session, int server) {
  if (denial == Denial::none) return true;
  ++denied_[static_cast<std::size_t>(action)];
  log_.error("denied", {{"action", name_of(action)},
                        {"reason", name_of(denial)},
                        {"session", given::write_hex16(session)},
                        {"server", server}});
  return false;
}

} // namespace snowshore::edge
