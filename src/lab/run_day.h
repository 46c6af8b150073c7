// Declares the run of a day: the front ends run as processes of their own, the simulated servers and players
// in this process, and the faults follow the day's record. Everything is on loopback with ports that the
// system assigns, and everything that is started here is ended here.
#pragma once
#include "lab/day.h"

#include <cstdint>
#include <functional>
#include <string>

namespace snowshore::lab {

// Access to the front ends of a day for a task that runs in a thread of its own. All functions may be called
// from any thread.
class FleetControl {
 public:
  virtual ~FleetControl() = default;
  virtual int fronts() const = 0;
  // Returns 0 while the front end is down or does not listen yet.
  virtual int management_port(int front) const = 0;
  // Kills the front end; it is started again a moment later.
  virtual void kill_front(int front) = 0;
  // Returns whether the day is over and the task must return soon.
  virtual bool is_day_over() const = 0;
};

struct RunOptions {
  // A task that runs in its own thread during the day, or none. If there is one, the front ends have
  // management enabled.
  std::function<void(FleetControl &)> background_task;
  // Whether the day lasts until the task has returned, and not as long as its record says.
  bool run_until_task_done = false;
  // The folder of traces, records and logs. An earlier day in it is deleted.
  std::string folder;
  // The path of the front end's executable.
  std::string program;
  std::uint64_t seed = 1;
  // Whether the progress is shown on standard error.
  bool show_progress = false;
};

// Runs a day; `day_text` is its record and goes into the folder. Throws std::runtime_error if the day cannot
// be run, for example because a front end does not become ready.
void run_day(const Day &day, const std::string &day_text, const RunOptions &options);

} // namespace snowshore::lab
