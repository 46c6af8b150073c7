// How the time between SIGTERM and the earliest SIGKILL is spent. All of it is counted from the signal, in
// seconds. Source: the platform's protocol page, "Figures" (planned restart).
#pragma once
#include <algorithm>

namespace snowshore {

struct DrainBudget {
  double takes_until = 0;   // requests are taken as usual; later ones are refused at once
  double answers_until = 0; // no attempt is out any more: what is in hand gets its final answer
  double waits_until = 0; // for what is written and not yet sent; then connections are ended, and the process

  static constexpr double kCountedDeadline = 3; // the longest deadline counts as this where it is longer
  static constexpr double kKillAfter = 0.7;     // SIGKILL comes no sooner than so long after that
  static constexpr double kRequestsCome = 0.7;  // and requests are owed an answer until then
  // Kept for the end itself, on a front end that has a part of a core: this part of the whole, so much at
  // most.
  static constexpr double kReservedShare = 0.2, kMostReserved = 0.35;
  static constexpr double kSendingShare =
      1.0 / 3; // of what is kept: for bytes that are written and not yet sent
};

inline double earliest_kill(double longest_deadline) {
  return std::min(longest_deadline, DrainBudget::kCountedDeadline) + DrainBudget::kKillAfter;
}

inline DrainBudget drain_budget(double longest_deadline) {
  double kill = earliest_kill(longest_deadline);
  double reserved = std::min(DrainBudget::kMostReserved, DrainBudget::kReservedShare * kill);
  DrainBudget out;
  out.answers_until = kill - reserved;
  out.takes_until = std::min(DrainBudget::kRequestsCome, out.answers_until);
  out.waits_until = out.answers_until + DrainBudget::kSendingShare * reserved;
  return out;
}

} // namespace snowshore
