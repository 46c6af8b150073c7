// How long the end of a message is uncertain when its bytes arrive in pieces. Its sender may have stated a
// length that is too short; bytes that show this follow after about the same pauses as the earlier ones. This
// module uses no clock. Times are in seconds.
#pragma once
#include <algorithm>

namespace snowshore::rtsp {

class PiecePauses {
 public:
  // Bytes arrived. is_continued: they follow bytes of a message whose end was not certain yet.
  void piece_received(double now, bool is_continued) {
    longest_ = is_continued ? std::max(longest_, now - last_piece_at_) : 0;
    is_continued_ = is_continued;
    last_piece_at_ = now;
  }
  // Returns how long after the last piece more bytes of the message may follow: 0 after a message that
  // arrived in one piece.
  double settle_time() const {
    return is_continued_ ? std::clamp(kPauseFactor * longest_, kMinSettleTime, kMaxSettleTime) : 0;
  }

 private:
  static constexpr double kPauseFactor = 3, kMinSettleTime = 0.005, kMaxSettleTime = 0.1;
  double last_piece_at_ = 0, longest_ = 0;
  bool is_continued_ = false;
};

} // namespace snowshore::rtsp
