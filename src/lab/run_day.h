// Plays one day: fronts as processes of their own, stand-in servers and players in this one, faults by the
// day's script. All on loopback, ports by the system, everything started here ended here.
#pragma once
#include "lab/day.h"

#include <cstdint>
#include <string>

namespace snowshore::lab {

struct RunOptions {
  std::string folder;  // traces, records and logs; made anew
  std::string program; // the front's
  std::uint64_t seed = 1;
  bool progress = false;
};

// Throws std::runtime_error when the day could not be played (a front that does not come up).
void run_day(const Day &day, const std::string &day_text, const RunOptions &options);

} // namespace snowshore::lab
