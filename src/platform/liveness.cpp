#include "platform/liveness.h"

#include <algorithm>
#include <cmath>

namespace snowshore::platform {

namespace {

// Notes that name newer sessions only, by chance, with a smaller probability than this are evidence.
constexpr double kChanceLimit = 0.05;

} // namespace

void Liveness::data_received(double now) {
  data_received_at_ = now;
  failed_connects_ = 0;
  refused_since_ = -1;
  refused_again_ = false;
}

void Liveness::connection_refused(double now) {
  if (refused_since_ < 0)
    refused_since_ = now;
  else if (now - refused_since_ >= settings_->refusal_spacing)
    refused_again_ = true;
}

void Liveness::connection_timed_out(double) { ++failed_connects_; }

void Liveness::session_message_received(double now, double session_started) {
  session_message_at_ = now;
  if (connection_lost_at_ >= 0 && session_started < connection_lost_at_)
    // The process that sends this message knows a session from before the loss, so it was not restarted.
    connection_lost_at_ = -1;
}

void Liveness::note_received(double now, double session_started) {
  session_message_received(now, session_started);
  bool may_belong_to_set_up = now - session_started <= settings_->max_message_delay;
  if (connection_lost_at_ >= 0 && !may_belong_to_set_up) ++newer_notes_;
}

bool Liveness::notes_exclude_older(std::size_t newer, std::size_t older) const {
  if (newer == 0 || older == 0) return true;
  double newer_share = static_cast<double>(newer) / static_cast<double>(newer + older);
  return std::pow(newer_share, newer_notes_) < kChanceLimit;
}

// The silence after a loss is evidence only where the server sent messages regularly before. A second loss
// before the verdict may have taken a message with it, so the silence counts from the second one, as long as
// the protocol's limit of 8 s allows that.
void Liveness::connection_lost(double now) {
  if (settings_->message_interval <= 0) return;
  double silence_limit = conclusive_silence();
  if (connection_lost_at_ < 0) {
    if (now - session_message_at_ > silence_limit) return;
    connection_lost_at_ = silent_since_ = now;
    newer_notes_ = 0;
  } else if (now - connection_lost_at_ + silence_limit < settings_->max_silence) {
    silent_since_ = now;
  }
}

// Messages may come later than the interval in the settings; the protocol's limit of 8 s bounds the silence.
double Liveness::conclusive_silence() const {
  return std::min(settings_->silent_intervals * settings_->message_interval + settings_->max_message_delay,
                  settings_->max_silence);
}

void Liveness::clear_connection_loss() { connection_lost_at_ = -1; }

Liveness::Verdict Liveness::evaluate(double now, bool connected, bool may_connect) {
  // The first check starts the observation.
  if (data_received_at_ < 0) data_received_at_ = now;
  if (refused_again_ && !connected) return Verdict::lost;
  double silence = now - data_received_at_;
  double silence_limit = conclusive_silence();
  if (connection_lost_at_ >= 0 && connected && now - silent_since_ > silence_limit) return Verdict::restarted;
  if (silence > settings_->lost_after && failed_connects_ >= 2) return Verdict::lost;
  if (!may_connect) {
    double longest_silence =
        std::max(settings_->lost_after, std::min(1.5 * settings_->message_interval, settings_->max_silence));
    return !connected || silence > longest_silence ? Verdict::lost : Verdict::alive;
  }
  bool probe_due = silence > settings_->probe_after || !connected;
  if (probe_due && now - probed_at_ >= (connected ? settings_->probe_interval : settings_->refusal_spacing)) {
    probed_at_ = now;
    return Verdict::probe;
  }
  return Verdict::alive;
}

} // namespace snowshore::platform
