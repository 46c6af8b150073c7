// Delays between retries. The delay doubles from the first to the longest, and each is drawn at random from
// the upper half of its range, so that several front ends do not retry at the same moments.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>

namespace snowshore::edge {

class Backoff {
 public:
  // first_delay, max_delay: seconds. The same seed gives the same delays.
  Backoff(double first_delay, double max_delay, std::uint64_t seed)
      : first_delay_(first_delay), max_delay_(max_delay),
        generator_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {}
  // Called after a success: the next delay is the first one again.
  void reset() { failures_ = 0; }
  // Number of failures since the last reset.
  int failures() const { return failures_; }
  // Counts a failure and returns the seconds to wait before the next attempt.
  double next_delay() {
    double delay = std::min(max_delay_, first_delay_ * std::exp2(failures_++));
    return delay * (0.5 + 0.5 * static_cast<double>(generator_() - 1) / 2147483646.0);
  }

 private:
  double first_delay_, max_delay_;
  std::minstd_rand generator_;
  int failures_ = 0;
};

} // namespace snowshore::edge
