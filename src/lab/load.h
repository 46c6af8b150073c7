// Measures one front as a process: plays at a given pace over light servers that answer at once, the front's
// own time, its processor time and memory. Figures are of the machine at hand; compare only within one call.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace snowshore::lab {

struct LoadOptions {
  std::vector<std::string> command; // the front's, to which its record's name is added
  std::string folder;
  int servers = 10;
  double rate = 500, seconds = 5, hold = 2; // plays a second, for so long, each held so long
  std::uint64_t seed = 1;
  bool keep = false; // plays are held until all have been set up, then all ended
  double sets = 0;   // a second, each with a read of all state, in every second round; 0: no management
  int rounds = 1;    // the same again on the same front: memory must not grow from one to the next
};

struct LoadFigures {
  std::uint64_t asked = 0, plays = 0, declined = 0, failed = 0;
  double answer_p50 = 0, answer_p99 = 0;  // seconds, at the player
  double added_p50 = 0, added_p99 = 0;    // the front's own, by its histogram
  double cpu_per_play = 0, in_module = 0; // seconds; share of the front's processor time inside the module
  double memory_empty = 0, memory_full = 0, memory_after = 0; // bytes
  double set_p50 = 0, set_p99 = 0;                            // seconds
  std::uint64_t sets = 0;
  double held = 0; // plays at the fullest
};

std::vector<LoadFigures> measure(const LoadOptions &options); // one a round; throws std::runtime_error

} // namespace snowshore::lab
