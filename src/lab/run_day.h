// Plays one day: fronts as processes of their own, stand-in servers and players in this one, faults by the
// day's script. All on loopback, ports by the system, everything started here ended here.
#pragma once
#include "lab/day.h"

#include <cstdint>
#include <functional>
#include <string>

namespace snowshore::lab {

// The fronts of a day, for what works beside it in a thread of its own. May be called by any thread.
class FleetControl {
 public:
  virtual ~FleetControl() = default;
  virtual int fronts() const = 0;
  virtual int management_port(int front) const = 0; // 0: down, or not up yet
  virtual void kill_front(int front) = 0;           // and started again a moment later
  virtual bool ends() const = 0;                    // the day is over: come back soon
};

struct RunOptions {
  // Beside the day, in its own thread; the fronts then have management on. The day lasts until it has come
  // back where lasts_until_done, else as long as its record says.
  std::function<void(FleetControl &)> beside;
  bool lasts_until_done = false;
  std::string folder;  // traces, records and logs; made anew
  std::string program; // the front's
  std::uint64_t seed = 1;
  bool progress = false;
};

// Throws std::runtime_error when the day could not be played (a front that does not come up).
void run_day(const Day &day, const std::string &day_text, const RunOptions &options);

} // namespace snowshore::lab
