// What the ends of the platform's protocol mean to the module and to viewers. Pure tables.
#pragma once
#include "decision/policy.h"
#include "rtsp/peer.h"

namespace snowshore::platform {

// Causes of the protocol page.
inline constexpr int kCauseEnded = 16, kCauseMoved = 31, kCauseDeclined = 34, kCauseFailed = 41,
                     kCauseBadRequest = 100;

// How a set-up ended; started: its answer makes the play stand.
struct SetUpEnd {
  Outcome outcome = Outcome::error;
  bool started = false;
};
SetUpEnd end_of(rtsp::EndReason end, const rtsp::Message *message);

// The cause in a release's Reason; nothing where there is none that can be read.
std::optional<int> cause_of(const rtsp::Message &message);
// A server's release of a play that stands.
Outcome outcome_of_release(int cause);
Outcome outcome_of_probe(rtsp::EndReason end, const rtsp::Message *message);

} // namespace snowshore::platform
