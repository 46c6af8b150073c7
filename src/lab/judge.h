// Declares the judge, which checks the six rules of a day against the traces of the simulated servers and
// players. It reads nothing that the front ends write. It also counts what it could not judge and reports
// plays on which players and servers disagree.
#pragma once
#include "lab/day.h"
#include "lab/trace.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace snowshore::lab {

// Describes one violation or one other finding: the play, the server and the times.
struct Evidence {
  std::string text;
};

// The result of judging one day.
struct Verdict {
  // The violations, by rule (index 0 is rule 1).
  std::array<std::vector<Evidence>, 6> violations;
  // Plays on which the traces of players and servers contradict each other.
  std::vector<Evidence> disagreements;
  // Failures outside the rules, such as a front end that crashed or did not exit on SIGTERM.
  std::vector<Evidence> other_failures;
  // The number of cases that could not be judged, by reason.
  std::map<std::string, int> not_judged;
  // The number of requests, by outcome.
  std::map<std::string, int> outcomes;
  // The summed importance of the viewers that asked, and of those whose first frame came within its target.
  double importance_requested = 0, importance_served = 0;
  // The times to the first frame in seconds, sorted.
  std::vector<double> first_frame_times;
  std::uint64_t requests = 0, plays = 0, set_ups = 0, further_allocations = 0, rung_steps = 0;
  // Returns the number of rules without a violation.
  int kept_rules() const;
  // Returns whether all rules were kept and nothing else failed.
  bool clean() const { return kept_rules() == 6 && disagreements.empty() && other_failures.empty(); }
};

// The traces of a day, each in the order of time.
struct Traces {
  std::vector<Json> fleet, servers, players;
};

// Reads the traces that run_day() wrote to `folder`. Throws std::runtime_error with the file and line of a
// failure.
Traces read_traces(const std::string &folder);
// Checks all rules of a day.
Verdict judge(const Day &day, const Traces &traces);
// Returns the verdict as text: all evidence if `full` is set, else the first few items of each list.
std::string format_report(const Verdict &verdict, bool full = false);

// The names of the rules as they are printed.
inline constexpr const char *kRuleNames[] = {"one answer in time", "one allocation at a time",
                                             "drains kept",        "cold servers spared",
                                             "terms kept",         "further allocations in budget"};

} // namespace snowshore::lab
