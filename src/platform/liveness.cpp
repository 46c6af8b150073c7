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

void Liveness::spoke(double now, double session_started) {
  spoke_at_ = now;
  if (broke_at_ >= 0 && session_started < broke_at_) broke_at_ = -1; // it knows what stood before
}

// Only a server that spoke regularly can be found out by its silence. A second break while one is open may
// have taken a word along: the silence counts from it, as long as the protocol's 8 s allow that.
void Liveness::broke(double now) {
  if (terms_->speaks_every <= 0) return;
  double silence = silence_that_tells();
  if (broke_at_ < 0) {
    if (now - spoke_at_ > silence) return;
    broke_at_ = silent_since_ = now;
  } else if (now - broke_at_ + silence < terms_->silent_at_most) {
    silent_since_ = now;
  }
}

// Notes may be late by some of the time that the settings name; the protocol's 8 s bound it.
double Liveness::silence_that_tells() const {
  return std::min(terms_->intervals * terms_->speaks_every + terms_->late_by, terms_->silent_at_most);
}

void Liveness::settle_break() { broke_at_ = -1; }

Liveness::Verdict Liveness::judge(double now, bool connected, bool may_ask) {
  if (heard_at_ < 0) heard_at_ = now; // watched from now on
  if (refused_again_ && !connected) return Verdict::lost;
  double quiet = now - heard_at_;
  double silence = silence_that_tells();
  if (broke_at_ >= 0 && connected && now - silent_since_ > silence) return Verdict::restarted;
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
