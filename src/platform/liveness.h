// Whether a server that holds plays of ours still lives, from what its connections show. No I/O and no clock:
// facts come in with their time. A connection that breaks proves nothing; a process that is gone refuses new
// ones; a machine that is gone or cut off lets none come up.
#pragma once
#include <cstdint>

namespace snowshore::platform {

struct LivenessTerms {    // seconds
  double ask_after = 2.5; // heard nothing for so long: one more connection is asked for
  double ask_every = 0.5;
  double lost_after = 4; // nothing heard and none came up for so long: its plays are over; the protocol's 8 s
                         // hold this, the wait for a connection, and a loop that is behind
  double speaks_every = 0;     // a server with plays of ours says something so often (0: not known)
  double silent_at_most = 6.5; // so that the 8 s hold
  double late_by = 1.5;        // what it says comes so late at most
  double intervals = 1.5;      // of speaks_every: silence for so many is no chance
  double refused_apart = 0.15; // two refusals so far apart are no accident of one moment
};

class Liveness {
 public:
  enum class Verdict { well, ask, lost, restarted }; // restarted: what stood there before broke_at() is over
  explicit Liveness(const LivenessTerms &terms) : terms_(&terms) {}
  void heard(double now); // bytes came, or a connection came up
  void refused(double now);
  void not_up(double now); // a connection did not come up in its time
  // It spoke of a session of ours that started at that moment; a set-up's answer counts too. A server that
  // holds sessions of ours does so once in speaks_every.
  void spoke(double now, double session_started);
  void broke(double now); // its last connection ended: a restart, or the connection alone
  void settle_break();    // the verdict was carried out, or can't be
  double broke_at() const { return broke_at_; }
  // connected: some connection to it is up. may_ask: its address is still its own; where not, silence alone
  // tells, past the time in which it would have said something. An answer `ask` counts as asked.
  Verdict judge(double now, bool connected, bool may_ask = true);
  double quiet_for(double now) const { return now - heard_at_; }

 private:
  double silence_that_tells() const; // seconds
  const LivenessTerms *terms_;
  double heard_at_ = -1e9, asked_at_ = -1e9, refused_since_ = -1;
  double spoke_at_ = -1e9, broke_at_ = -1, silent_since_ = -1; // below 0: no break is open
  int failed_ = 0;
  bool refused_again_ = false;
};

} // namespace snowshore::platform
