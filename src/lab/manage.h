// A management client for many fronts, as a stand-in: pushes changes, valid and not, by a seed, has fronts
// killed in between, and compares every read with what it knows to have been accepted last.
#pragma once
#include "lab/run_day.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace snowshore::lab {

struct PushOptions {
  int changes = 1000, kills = 50; // in all, over all fronts
  std::uint64_t seed = 1;
  double pause = 0.05; // seconds between two changes of a front
};

struct PushFigures {
  int taken = 0, refused = 0, unanswered = 0, kills = 0, rolled_back = 0, undone = 0;
  int reads = 0, differ = 0;
  std::map<std::string, int> refusals; // by code
  std::vector<double> set_times;       // seconds
  std::vector<std::string> evidence;   // of the first differences
  double seconds = 0;
};

// Pushes until all changes are made or the day ends.
PushFigures push_changes(FleetControl &fleet, const PushOptions &options);
std::string report(const PushFigures &figures);

// One change to all these management addresses at once, by so many threads; seconds until the last has it, in
// force and answered.
struct RolloutFigures {
  double seconds = 0, p50 = 0, p99 = 0; // of one Set
  int taken = 0;
};
RolloutFigures roll_out(const std::vector<std::string> &addresses, int threads, int value);

// Sets at this pace, each followed by a read of all state, until told to stop; seconds that each Set took.
std::vector<double> set_steadily(const std::string &address, double a_second, const std::atomic<bool> &go_on);

// Seconds to open the store and have the last of so many revisions in force, in a folder of its own.
double recovery_time(const std::string &folder, int revisions, const std::string &front_record_text);

} // namespace snowshore::lab
