// The judge: whether the six rules were kept, from what the stand-ins' sockets saw and from nothing of the
// fronts. It also says what it could not judge, and where players and servers disagree on a play.
#pragma once
#include "lab/day.h"
#include "lab/trace.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace snowshore::lab {

struct Evidence { // one breach, or one thing that could not be judged: play, server, times
  std::string text;
};

struct Verdict {
  std::array<std::vector<Evidence>, 6> breaches; // by rule, 0 to 5
  std::vector<Evidence> disagreements;           // of players and servers
  std::vector<Evidence> other;                   // a front that died or did not end by itself
  std::map<std::string, int> not_judged;         // reason: how many
  std::map<std::string, int> outcomes;           // of asks
  double asked = 0, served = 0;     // importance asked for; answered within the first-frame target
  std::vector<double> first_frames; // seconds, sorted
  std::uint64_t asks = 0, plays = 0, set_ups = 0, further = 0, rung_steps = 0;
  int kept() const;
  bool clean() const { return kept() == 6 && disagreements.empty() && other.empty(); }
};

struct Traces {
  std::vector<Json> fleet, servers, players; // each in the order of time
};

Traces read_traces(const std::string &folder); // throws std::runtime_error naming file and line
Verdict judge(const Day &day, const Traces &traces);
std::string report(const Verdict &verdict, bool in_full = false);

inline constexpr const char *kRules[] = {"one answer in time", "one allocation at a time",
                                         "drains kept",        "cold servers spared",
                                         "terms kept",         "further allocations in budget"};

} // namespace snowshore::lab
