// Pauses between attempts: doubling from the first to the longest, each spread by seeded chance over its
// upper half, so that fronts do not come back in step.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>

namespace snowshore::edge {

class Backoff {
 public:
  Backoff(double first, double longest, std::uint64_t seed)
      : first_(first), longest_(longest), chance_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {}
  void reset() { failures_ = 0; } // it went well
  int failures() const { return failures_; }
  double next() { // seconds; counts a failure
    double pause = std::min(longest_, first_ * std::exp2(failures_++));
    return pause * (0.5 + 0.5 * static_cast<double>(chance_() - 1) / 2147483646.0);
  }

 private:
  double first_, longest_;
  std::minstd_rand chance_;
  int failures_ = 0;
};

} // namespace snowshore::edge
