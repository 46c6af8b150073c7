// Maps the results and causes of the platform's protocols to the decision engine's outcomes.
#pragma once
#include "decision/policy.h"
#include "rtsp/peer.h"
#include "settings/platform_protocol.h"

namespace snowshore::platform {

using settings::kCauseBadRequest;
using settings::kCauseDeclined;
using settings::kCauseEnded;
using settings::kCauseFailed;
using settings::kCauseMoved;

// The outcome of a set-up. started: the server's answer says that the play runs.
struct SetUpOutcome {
  Outcome outcome = Outcome::error;
  bool started = false;
};
// message: the server's answer, or its release of the session before any answer (status 0); may be null.
SetUpOutcome set_up_outcome(rtsp::EndReason end, const rtsp::Message *message);

// Returns the cause code in the Reason header of a release, or nothing where there is no valid one.
std::optional<int> release_cause(const rtsp::Message &message);
// The outcome of a running play that its server has released with this cause.
Outcome release_outcome(int cause);
// The outcome of a probe; message: the server's answer, or null.
Outcome probe_outcome(rtsp::EndReason end, const rtsp::Message *message);

} // namespace snowshore::platform
