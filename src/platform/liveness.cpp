#include "platform/liveness.h"

#include <algorithm>

namespace snowshore::platform {

void Liveness::data_received(double now) {
  data_received_at_ = now;
  failed_ = 0;
  refused_since_ = -1;
  refused_again_ = false;
}

void Liveness::connection_refused(double now) {
  if (refused_since_ < 0)
    refused_since_ = now;
  else if (now - refused_since_ >= settings_->refusal_spacing)
    refused_again_ = true;
}

void Liveness::connection_timed_out(double) { ++failed_; }

void Liveness::session_message_received(double now, double session_started) {
  session_message_at_ = now;
  if (connection_lost_at_ >= 0 && session_started < connection_lost_at_)
    connection_lost_at_ = -1; // it knows what stood before
}

// Only a server that spoke regularly can be found out by its silence. A second break while one is open may
// have taken a word along: the silence counts from it, as long as the protocol's 8 s allow that.
void Liveness::connection_lost(double now) {
  if (settings_->message_interval <= 0) return;
  double silence = conclusive_silence();
  if (connection_lost_at_ < 0) {
    if (now - session_message_at_ > silence) return;
    connection_lost_at_ = silent_since_ = now;
  } else if (now - connection_lost_at_ + silence < settings_->max_silence) {
    silent_since_ = now;
  }
}

// Notes may be late by some of the time that the settings name; the protocol's 8 s bound it.
double Liveness::conclusive_silence() const {
  return std::min(settings_->silent_intervals * settings_->message_interval + settings_->max_message_delay,
                  settings_->max_silence);
}

void Liveness::clear_connection_loss() { connection_lost_at_ = -1; }

Liveness::Verdict Liveness::evaluate(double now, bool connected, bool may_ask) {
  if (data_received_at_ < 0) data_received_at_ = now; // watched from now on
  if (refused_again_ && !connected) return Verdict::lost;
  double quiet = now - data_received_at_;
  double silence = conclusive_silence();
  if (connection_lost_at_ >= 0 && connected && now - silent_since_ > silence) return Verdict::restarted;
  if (quiet > settings_->lost_after && failed_ >= 2) return Verdict::lost;
  if (!may_ask) {
    double speaks_by =
        std::max(settings_->lost_after, std::min(1.5 * settings_->message_interval, settings_->max_silence));
    return !connected || quiet > speaks_by ? Verdict::lost : Verdict::alive;
  }
  bool due = quiet > settings_->probe_after || !connected;
  if (due && now - probed_at_ >= (connected ? settings_->probe_interval : settings_->refusal_spacing)) {
    probed_at_ = now;
    return Verdict::probe;
  }
  return Verdict::alive;
}

} // namespace snowshore::platform
