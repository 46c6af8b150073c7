// The one place that says whether something may be sent, repeated, closed or started now. Whoever is about to
// asks here first; what is denied is not done. The rest of the front end is built so that nothing is ever
// denied: each denial is a defect, counted, logged with id and reason, and fails the tests and the soak. It
// knows what is out on the wire and since when servers leave; the state of sessions is the table's (plays.h).
#pragma once
#include "decision/policy.h"
#include "edge/plays.h"
#include "telemetry/log.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowshore::edge {

enum class Action { attempt, answer, release, connect, exit };
inline constexpr std::size_t kActions = 5;
std::string_view name_of(Action action);

enum class Denial {
  none,
  not_waiting,         // the session has its answer, or its client has left
  another_attempt_out, // of the same session
  server_left,
  drain_grace_over,
  closing, // past the moment after which the planned end begins nothing
  not_active,
  still_owed, // answers or releases, inside the budget of the planned end
};
std::string_view name_of(Denial denial);

class SendGuard {
 public:
  SendGuard(telemetry::Log &log, double drain_grace) : log_(log), drain_grace_(drain_grace) {}
  void set_drain_grace(double seconds) { drain_grace_ = seconds; }

  // ---- What it is told.
  void server_told(int server, Standing standing, double now);
  void server_forgotten(int server);
  void attempt_out(std::uint64_t session, int server) { out_[session] = server; }
  void attempt_over(std::uint64_t session) { out_.erase(session); }
  void closes_at(double moment) { closes_at_ = moment; }

  // ---- What it is asked; true: it may be done.
  bool may_attempt(const HeldPlay &session, int server, double now); // for the first time or again
  bool may_answer(const HeldPlay &session);
  bool may_release(const HeldPlay &session);
  bool has_left(int server) const;
  bool may_connect(int server);
  bool may_exit(bool owes, double now, double waits_until);

  std::uint64_t denied(Action action) const { return denied_[static_cast<std::size_t>(action)]; }
  std::uint64_t denied() const;
  std::size_t attempts_out() const { return out_.size(); }

 private:
  struct Told {
    Standing standing = Standing::active;
    double leaves_since = 0;
  };
  bool decide(Action action, Denial denial, std::uint64_t session, int server);
  Denial denial_of_attempt(const HeldPlay &session, int server, double now) const;

  telemetry::Log &log_;
  double drain_grace_, closes_at_ = 1e18;
  std::vector<Told> servers_;                  // by index
  std::unordered_map<std::uint64_t, int> out_; // sessions with an attempt on the wire: at which server
  std::array<std::uint64_t, kActions> denied_{};
};

} // namespace snowshore::edge
