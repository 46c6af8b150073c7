// Declares the simulated management client of many front ends. It sends valid and invalid changes, has front
// ends killed meanwhile, and compares every read with the configuration that was accepted last.
#pragma once
#include "lab/run_day.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace snowshore::lab {

struct PushOptions {
  // The totals over all front ends.
  int changes = 1000, kills = 50;
  std::uint64_t seed = 1;
  // The seconds between two changes of a front end.
  double pause = 0.05;
};

struct PushFigures {
  int accepted = 0, refused = 0, unanswered = 0, kills = 0, rolled_back = 0, undone = 0;
  int reads = 0, mismatches = 0;
  // The number of refusals by reason.
  std::map<std::string, int> refusals;
  // The durations of the Set calls in seconds, without those during which the front end was killed.
  std::vector<double> set_times;
  // Descriptions of the first mismatches.
  std::vector<std::string> evidence;
  double seconds = 0;
};

// Sends changes to all front ends, each from a thread of its own, until all are made or the day is over.
PushFigures push_changes(FleetControl &fleet, const PushOptions &options);
std::string format_report(const PushFigures &figures);

// The figures of one change to many front ends. Times are in seconds.
struct RolloutFigures {
  // The time until the last front end has the change in force and has answered; the duration of one Set.
  double seconds = 0, p50 = 0, p99 = 0;
  int accepted = 0;
};
// Sets open_plays to `value` at all management addresses, with `threads` calls at a time.
RolloutFigures roll_out(const std::vector<std::string> &addresses, int threads, int value);

// Sends Set calls at `rate` per second, each followed by a read of all state, until `keep_running` is false.
// Returns the duration of each Set in seconds. Throws std::runtime_error if one fails.
std::vector<double> set_at_rate(const std::string &address, double rate,
                                const std::atomic<bool> &keep_running);

// Writes a store with `revisions` revisions to `folder`, which must be empty. Returns the seconds that it
// takes to open the store and to have the last revision in force.
double measure_recovery(const std::string &folder, int revisions, const std::string &front_record_text);

} // namespace snowshore::lab
