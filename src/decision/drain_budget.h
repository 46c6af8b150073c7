// Divides the time between SIGTERM and the earliest possible SIGKILL. All values are seconds counted from the
// signal. Source: the platform's protocol page, "Figures" (planned restart).
#pragma once
#include <algorithm>

namespace snowshore {

struct DrainBudget {
  // Until then requests are accepted as usual; later ones are declined at once.
  double accept_until = 0;
  // After that no allocation is open any more, and each pending play gets its final answer.
  double answer_until = 0;
  // Until then bytes that are written and not yet sent may go out; then connections are closed and the
  // process exits.
  double flush_until = 0;

  // A time limit of requests that is longer than this counts as this.
  static constexpr double kMaxCountedDeadline = 3;
  // SIGKILL comes no sooner than this after the counted deadline.
  static constexpr double kKillDelay = 0.7;
  // Requests that arrive until then are owed an answer.
  static constexpr double kRequestPeriod = 0.7;
  // Share of the whole time that is reserved for the shutdown itself on a front end that has only a part of a
  // core, and its maximum in seconds.
  static constexpr double kReservedShare = 0.2, kMaxReserved = 0.35;
  // Share of the reserved time that may be spent on sending bytes that are already written.
  static constexpr double kFlushShare = 1.0 / 3;
};

// The earliest time at which the process may be killed.
inline double earliest_kill(double longest_deadline) {
  return std::min(longest_deadline, DrainBudget::kMaxCountedDeadline) + DrainBudget::kKillDelay;
}

// The division of that time, for the longest time limit of any product.
inline DrainBudget drain_budget(double longest_deadline) {
  double kill = earliest_kill(longest_deadline);
  double reserved = std::min(DrainBudget::kMaxReserved, DrainBudget::kReservedShare * kill);
  DrainBudget out;
  out.answer_until = kill - reserved;
  out.accept_until = std::min(DrainBudget::kRequestPeriod, out.answer_until);
  out.flush_until = out.answer_until + DrainBudget::kFlushShare * reserved;
  return out;
}

} // namespace snowshore
