// A program's one clock: epoch seconds at its start plus the steady clock since, so it never steps; the same
// value for all that one turn of the loop finds. Fronts whose machines keep time agree on it, as turns for
// cold servers need.
#pragma once
#include <algorithm>
#include <chrono>

namespace snowshore::telemetry {

// Seconds as a timer's wait; never negative.
inline std::chrono::steady_clock::duration span(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(std::max(0.0, seconds)));
}

// Seconds of the steady clock, for what only measures spans.
inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

class LoopClock {
 public:
  LoopClock()
      : start_(std::chrono::steady_clock::now()),
        epoch_(std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()) {}
  double now() { // read once a turn, at the first use in it
    if (stale_) now_ = exact(), stale_ = false;
    return now_;
  }
  double exact() const {
    return epoch_ + std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
  }
  void turn() { stale_ = true; }

 private:
  std::chrono::steady_clock::time_point start_;
  double epoch_, now_ = 0;
  bool stale_ = true;
};

} // namespace snowshore::telemetry
