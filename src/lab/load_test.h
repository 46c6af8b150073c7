// Declares the load measurement. One front end runs as a process; plays arrive at a given rate over minimal
// servers that answer at once. Measured are the front end's own latency, its processor time and its memory.
// The figures depend on the machine and its other load, so only those of one run are comparable.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace snowshore::lab {

struct LoadOptions {
  // The front end's command line, to which the path of its record is appended.
  std::vector<std::string> command;
  std::string folder;
  int servers = 10;
  // Plays per second, the duration of the load in seconds, and the seconds for which each play is held.
  double rate = 500, seconds = 5, hold = 2;
  std::uint64_t seed = 1;
  // Whether all plays are held until the last one has been set up, and then ended together.
  bool keep = false;
  // The rate of gNMI Set calls in every second round, each followed by a read of all state. 0 leaves
  // management off.
  double set_rate = 0;
  // The number of repetitions on the same front end, to show whether its memory grows from one to the next.
  int rounds = 1;
};

// The figures of one round. Times are in seconds, sizes in bytes.
struct LoadFigures {
  std::uint64_t asked = 0, plays = 0, declined = 0, failed = 0;
  // The time from when a request was due to its answer at the player.
  double answer_p50 = 0, answer_p99 = 0;
  // The time that the front end adds, by its own histogram.
  double added_p50 = 0, added_p99 = 0;
  // The processor time per play, and the share of it that is spent in the decision module.
  double cpu_per_play = 0, module_share = 0;
  // The resident memory before the load, at its end, and after all plays have ended.
  double memory_before = 0, memory_loaded = 0, memory_after = 0;
  // The duration of a Set.
  double set_p50 = 0, set_p99 = 0;
  std::uint64_t sets = 0;
  // The number of open plays at the end of the load.
  double held = 0;
};

// Measures one front end and returns the figures of each round. Throws std::runtime_error if the front end
// does not come up.
std::vector<LoadFigures> measure_load(const LoadOptions &options);

} // namespace snowshore::lab
