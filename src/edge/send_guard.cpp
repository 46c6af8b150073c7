#include "edge/send_guard.h"
#include "given/hex_id.h"

#include <numeric>

namespace snowshore::edge {

std::string_view name_of(GuardedAction action) {
  constexpr std::string_view kNames[] = {"attempt", "answer", "release", "connect", "exit"};
  static_assert(std::size(kNames) == kActions);
  return kNames[static_cast<std::size_t>(action)];
}

std::string_view name_of(DenialReason denial) {
  constexpr std::string_view kNames[] = {"none",        "not_waiting",      "another_attempt_out",
                                         "server_left", "drain_grace_over", "closing",
                                         "not_active",  "still_owed"};
  return kNames[static_cast<std::size_t>(denial)];
}

void SendGuard::set_server_status(int server, ServerStatus standing, double now) {
  auto place = static_cast<std::size_t>(server);
  if (place >= servers_.size()) servers_.resize(place + 1);
  ServerInfo &its = servers_[place];
  if (standing != ServerStatus::active && its.status == ServerStatus::active) its.leaving_since = now;
  its.status = standing;
}

void SendGuard::remove_server(int server) {
  if (static_cast<std::size_t>(server) < servers_.size()) servers_[static_cast<std::size_t>(server)] = {};
}

DenialReason SendGuard::denial_of_attempt(const PlayRecord &session, int server, double now) const {
  if (session.state != PlayState::allocating) return DenialReason::not_waiting;
  if (pending_.contains(session.id)) return DenialReason::attempt_already_pending;
  if (now > shutdown_at_) return DenialReason::shutting_down;
  if (static_cast<std::size_t>(server) >= servers_.size()) return DenialReason::none;
  const ServerInfo &told = servers_[static_cast<std::size_t>(server)];
  if (told.status == ServerStatus::left) return DenialReason::server_left;
  if (told.status == ServerStatus::leaving && now - told.leaving_since > drain_grace_)
    return DenialReason::drain_grace_over;
  return DenialReason::none;
}

bool SendGuard::may_attempt(const PlayRecord &session, int server, double now) {
  return decide(GuardedAction::attempt, denial_of_attempt(session, server, now), session.id, server);
}

bool SendGuard::may_answer(const PlayRecord &session) {
  bool waits = session.state == PlayState::requested || session.state == PlayState::allocating ||
               session.state == PlayState::playing;
  return decide(GuardedAction::answer,
                waits && !session.answered ? DenialReason::none : DenialReason::not_waiting, session.id,
                session.server);
}

bool SendGuard::may_release(const PlayRecord &session) {
  return decide(GuardedAction::release,
                session.state == PlayState::playing ? DenialReason::none : DenialReason::not_active,
                session.id, session.server);
}

bool SendGuard::has_left(int server) const {
  return static_cast<std::size_t>(server) < servers_.size() &&
         servers_[static_cast<std::size_t>(server)].status == ServerStatus::left;
}

bool SendGuard::may_connect(int server) {
  return decide(GuardedAction::connect, has_left(server) ? DenialReason::server_left : DenialReason::none, 0,
                server);
}

bool SendGuard::may_exit(bool owes, double now, double waits_until) {
  return decide(GuardedAction::exit,
                owes && now < waits_until ? DenialReason::messages_pending : DenialReason::none, 0, -1);
}

std::uint64_t SendGuard::denied() const {
  return std::accumulate(denied_.begin(), denied_.end(), std::uint64_t{0});
}

bool SendGuard::decide(GuardedAction action, DenialReason denial, std::uint64_t session, int server) {
  if (denial == DenialReason::none) return true;
  ++denied_[static_cast<std::size_t>(action)];
  log_.error("denied", {{"action", name_of(action)},
                        {"reason", name_of(denial)},
                        {"session", given::format_hex16(session)},
                        {"server", server}});
  return false;
}

} // namespace snowshore::edge
