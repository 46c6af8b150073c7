// The clock of the event loop: epoch seconds at the program's start plus the steady clock's time since then,
// so that it never steps. It keeps one value for all handlers of one iteration of the loop. Front ends on
// machines with synchronized clocks agree on it; their turns at cold servers (decision/slow_start.h) depend
// on that.
#pragma once
#include <algorithm>
#include <chrono>

namespace snowshore::telemetry {

// Converts seconds to a timer's duration. Negative values become 0.
inline std::chrono::steady_clock::duration to_timer_duration(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(std::max(0.0, seconds)));
}

// Seconds of the steady clock, for measuring durations.
inline double steady_seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Times are epoch seconds.
class LoopClock {
 public:
  LoopClock()
      : start_(std::chrono::steady_clock::now()),
        start_epoch_seconds_(
            std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()) {}
  // The time of this iteration of the loop; the clock is read at the first call in it.
  double now() {
    if (stale_) {
      now_ = read_now();
      stale_ = false;
    }
    return now_;
  }
  // Reads the clock; now() is not affected.
  double read_now() const {
    return start_epoch_seconds_ +
           std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
  }
  // Makes the next now() read the clock; called once in each iteration of the loop.
  void invalidate() { stale_ = true; }

 private:
  std::chrono::steady_clock::time_point start_;
  double start_epoch_seconds_, now_ = 0;
  bool stale_ = true;
};

} // namespace snowshore::telemetry
