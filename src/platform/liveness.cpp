#include "platform/liveness.h"

#include <algorithm>

namespace snowshore::platform {

void Liveness::heard(double now) {
  heard_at_ = now;
  failed_ = 0;
  refused_since_ = -1;
  refused_again_ = false;
}

void Liveness::refused(double now) {
  if (refused_since_ < 0)
    refused_since_ = now;
  else if (now - refused_since_ >= terms_->refused_apart)
    refused_again_ = true;
}

void Liveness::not_up(double) { ++failed_; }

Liveness::Verdict Liveness::judge(double now, bool connected, bool may_ask) {
  if (heard_at_ < 0) heard_at_ = now; // watched from now on
  if (refused_again_ && !connected) return Verdict::lost;
  double quiet = now - heard_at_;
  if (quiet > terms_->lost_after && failed_ >= 2) return Verdict::lost;
  if (!may_ask) {
    double speaks_by =
        std::max(terms_->lost_after, std::min(1.5 * terms_->speaks_every, terms_->silent_at_most));
    return !connected || quiet > speaks_by ? Verdict::lost : Verdict::well;
  }
  bool due = quiet > terms_->ask_after || !connected;
  if (due && now - asked_at_ >= (connected ? terms_->ask_every : terms_->refused_apart)) {
    asked_at_ = now;
    return Verdict::ask;
  }
  return Verdict::well;
}

} // namespace snowshore::platform
