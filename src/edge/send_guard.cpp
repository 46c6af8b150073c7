// The conditions under which each checked action is denied.
#include "edge/send_guard.h"
#include "settings/hex_id.h"

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

void SendGuard::set_server_status(int server, ServerStatus status, double now) {
  auto row = static_cast<std::size_t>(server);
  if (row >= servers_.size()) servers_.resize(row + 1);
  ServerInfo &info = servers_[row];
  if (status != ServerStatus::active && info.status == ServerStatus::active) info.leaving_since = now;
  info.status = status;
}

void SendGuard::remove_server(int server) {
  if (static_cast<std::size_t>(server) < servers_.size()) servers_[static_cast<std::size_t>(server)] = {};
}

DenialReason SendGuard::denial_of_attempt(const PlayRecord &play, int server, double now) const {
  if (play.state != PlayState::allocating) return DenialReason::not_waiting;
  if (pending_.contains(play.id)) return DenialReason::attempt_already_pending;
  if (now > shutdown_at_) return DenialReason::shutting_down;
  if (static_cast<std::size_t>(server) >= servers_.size()) return DenialReason::none;
  const ServerInfo &info = servers_[static_cast<std::size_t>(server)];
  if (info.status == ServerStatus::left) return DenialReason::server_left;
  if (info.status == ServerStatus::leaving && now - info.leaving_since > drain_grace_)
    return DenialReason::drain_grace_over;
  return DenialReason::none;
}

bool SendGuard::may_attempt(const PlayRecord &play, int server, double now) {
  return allow_or_report(GuardedAction::attempt, denial_of_attempt(play, server, now), play.id, server);
}

bool SendGuard::may_answer(const PlayRecord &play) {
  bool is_waiting = play.state == PlayState::requested || play.state == PlayState::allocating ||
                    play.state == PlayState::playing;
  return allow_or_report(GuardedAction::answer,
                         is_waiting && !play.answered ? DenialReason::none : DenialReason::not_waiting,
                         play.id, play.server);
}

bool SendGuard::may_release(const PlayRecord &play) {
  return allow_or_report(GuardedAction::release,
                         play.state == PlayState::playing ? DenialReason::none : DenialReason::not_active,
                         play.id, play.server);
}

bool SendGuard::has_left(int server) const {
  return static_cast<std::size_t>(server) < servers_.size() &&
         servers_[static_cast<std::size_t>(server)].status == ServerStatus::left;
}

bool SendGuard::may_connect(int server) {
  return allow_or_report(GuardedAction::connect,
                         has_left(server) ? DenialReason::server_left : DenialReason::none, 0, server);
}

bool SendGuard::may_exit(bool has_unsent, double now, double budget_end) {
  return allow_or_report(GuardedAction::exit,
                         has_unsent && now < budget_end ? DenialReason::messages_pending : DenialReason::none,
                         0, -1);
}

std::uint64_t SendGuard::denied() const {
  return std::accumulate(denied_.begin(), denied_.end(), std::uint64_t{0});
}

bool SendGuard::allow_or_report(GuardedAction action, DenialReason denial, std::uint64_t play_id,
                                int server) {
  if (denial == DenialReason::none) return true;
  ++denied_[static_cast<std::size_t>(action)];
  log_.error("denied", {{"action", name_of(action)},
                        {"reason", name_of(denial)},
                        {"session", settings::format_hex16(play_id)},
                        {"server", server}});
  return false;
}

} // namespace snowshore::edge
