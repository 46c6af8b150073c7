// Whether a session that was handed over still stands at its server, where the server may have started since
// the session was set up. A server names the sessions that it holds: by the note of the rung that the
// protocol gives for a hand-over, and by its periodic notes, each of which names one session. No I/O, no
// clock. Times are in seconds.
#pragma once

namespace snowshore {

// What is known of one session that was handed over.
enum class HandoverState {
  // The session was set up by this run.
  none,
  // No message has named the session yet.
  unconfirmed,
  // No message has named the session, but its server holds one that was handed over with it.
  presumed,
  // A message of the server has named the session.
  confirmed,
};

// How well the server could send the note of the rung when the session was handed over.
enum class HandoverReach { unconnected, just_connected, connected };

// Whether servers send the note of the rung after a hand-over. The protocol names it without saying when it
// is sent, and a server without a connection may not send it, so its absence is evidence only for a session
// whose server was reached at least as well as one that has sent the note.
class RungNoteEvidence {
 public:
  void note_received(HandoverReach reach) {
    (reach == HandoverReach::unconnected ? seen_unconnected_ : seen_connected_) = true;
  }
  bool is_expected(HandoverReach reach) const {
    return seen_unconnected_ || (reach == HandoverReach::connected && seen_connected_);
  }

 private:
  bool seen_unconnected_ = false, seen_connected_ = false;
};

struct HandoverEvidence {
  // A session that was handed over at the same time or later is held by the same server process.
  bool is_sibling_held = false;
  // The server would have sent the note of the rung, and no connection that could carry it has broken.
  bool is_rung_note_missing = false;
};

struct HandoverLimits {
  // A session that no message has named for this time after its hand-over is judged by what else is known.
  // The protocol allows 8 s from the end to the release; the rest is for an event loop that lags.
  static constexpr double kConfirmWithin = 6.5;
  // A connection that has been established for this time was known to the server.
  static constexpr double kEstablishedFor = 0.5;
  // Sessions handed over at most so much later than one that is held come from the same run of a front end.
  static constexpr double kSameRunWindow = 2;
};

// The state of an unconfirmed session after kConfirmWithin. `unconfirmed` means that the session is over: a
// session that is held for good although it has ended is lost to its client, while one that is ended by
// mistake can be requested again.
inline HandoverState judge_handover(const HandoverEvidence &evidence) {
  if (evidence.is_rung_note_missing || !evidence.is_sibling_held) return HandoverState::unconfirmed;
  return HandoverState::presumed;
}

} // namespace snowshore
