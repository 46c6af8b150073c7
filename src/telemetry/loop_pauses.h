// Notices that the process did not run for a while, from how late a periodic call of its event loop is. What
// arrived meanwhile lies unread, in no order of time: right after a pause the front end is catching up, reads
// what has arrived, and decides nothing new before that. No I/O, no clock; times are in seconds.
#pragma once

namespace snowshore::telemetry {

class LoopPauses {
 public:
  // Two beats further apart than this have a pause between them.
  static constexpr double kShortestPause = 1;
  // After a pause, the time in which the event loop reads what has arrived. It bounds the reading, so that a
  // flood on one connection does not hold up the rest.
  static constexpr double kCatchUpTime = 0.05;

  // Called many times a second while the process runs.
  void beat(double now) {
    notice_pause(now);
    beat_at_ = now;
  }
  // Whether a pause has just ended. Any handler may be the first to ask after a pause.
  bool is_catching_up(double now) {
    notice_pause(now);
    return now < caught_up_at_;
  }
  // When the front end has caught up after the last pause.
  double caught_up_at() const { return caught_up_at_; }
  // The length of the last pause: what is read while catching up may have arrived so long ago.
  double length() const { return length_; }

 private:
  void notice_pause(double now) {
    if (beat_at_ >= 0 && now - beat_at_ > kShortestPause) {
      length_ = now - beat_at_;
      caught_up_at_ = now + kCatchUpTime;
      beat_at_ = now;
    }
  }
  double beat_at_ = -1, caught_up_at_ = -1, length_ = 0;
};

} // namespace snowshore::telemetry
