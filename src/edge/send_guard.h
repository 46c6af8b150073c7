// Checks each protocol-relevant action right before it is done: a set-up or its repetition, an answer, a
// release, a new connection, the exit of the process. A denied action is not done. The rest of the front end
// is built so that nothing is ever denied: each denial is a defect, which is counted and logged with its id
// and reason and which fails the tests and the soak runs. The guard knows which set-ups are pending and since
// when servers leave; the state of a play comes from the play table (play_table.h). Times are seconds.
#pragma once
#include "decision/policy.h"
#include "edge/play_table.h"
#include "telemetry/log.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowshore::edge {

// The actions that are checked.
enum class GuardedAction { attempt, answer, release, connect, exit };
inline constexpr std::size_t kActions = 5;
std::string_view name_of(GuardedAction action);

// Why an action was denied.
enum class DenialReason {
  none,
  // The play has its answer, or its player has left.
  not_waiting,
  // Another set-up of the same play is pending.
  attempt_already_pending,
  server_left,
  // The server has been leaving for longer than the drain grace.
  drain_grace_over,
  // The shutdown has reached the time after which nothing new is begun.
  shutting_down,
  not_active,
  // Answers or releases are unsent, and the shutdown's time budget is not used up.
  messages_pending,
};
std::string_view name_of(DenialReason denial);

class SendGuard {
 public:
  // drain_grace: seconds for which a leaving server still accepts set-ups.
  SendGuard(telemetry::Log &log, double drain_grace) : log_(log), drain_grace_(drain_grace) {}
  void set_drain_grace(double seconds) { drain_grace_ = seconds; }

  // ---- Events that the guard needs to know.
  void set_server_status(int server, ServerStatus status, double now);
  void remove_server(int server);
  // A set-up of the play with this id was sent to the server, and has ended.
  void attempt_started(std::uint64_t play_id, int server) { pending_[play_id] = server; }
  void attempt_finished(std::uint64_t play_id) { pending_.erase(play_id); }
  // No set-up may begin after this time.
  void set_shutdown_time(double deadline) { shutdown_at_ = deadline; }

  // ---- Checks. Each returns whether the action may be done; a denial is counted and logged.
  // For a first set-up and for a repeated one.
  bool may_attempt(const PlayRecord &play, int server, double now);
  bool may_answer(const PlayRecord &play);
  bool may_release(const PlayRecord &play);
  // A plain query, which is never counted as a denial.
  bool has_left(int server) const;
  bool may_connect(int server);
  // has_unsent: answers or releases are still unsent. budget_end: the end of the shutdown's time budget.
  bool may_exit(bool has_unsent, double now, double budget_end);

  // Number of denials so far, of one action and in total.
  std::uint64_t denied(GuardedAction action) const { return denied_[static_cast<std::size_t>(action)]; }
  std::uint64_t denied() const;
  // Number of pending set-ups.
  std::size_t pending_attempts() const { return pending_.size(); }

 private:
  // The last status that discovery gave, and since when the server leaves.
  struct ServerInfo {
    ServerStatus status = ServerStatus::active;
    double leaving_since = 0;
  };
  // Counts and logs a denial; returns whether the action may be done.
  bool allow_or_report(GuardedAction action, DenialReason denial, std::uint64_t play_id, int server);
  // Why the set-up may not be sent, or DenialReason::none.
  DenialReason denial_of_attempt(const PlayRecord &play, int server, double now) const;

  telemetry::Log &log_;
  double drain_grace_, shutdown_at_ = 1e18;
  // By server index.
  std::vector<ServerInfo> servers_;
  // The server of each pending set-up, by the play's id.
  std::unordered_map<std::uint64_t, int> pending_;
  // Number of denials by action.
  std::array<std::uint64_t, kActions> denied_{};
};

} // namespace snowshore::edge
