// Since when the process that answers at a server's address is known to be the same one. An address outlives
// a process and a server's id, and a new process may take it at once; what a session needs is the process
// that holds it. Evidence is what is received: data on a connection comes from the process that accepted the
// connection, and a message about a session from the process that holds the session. No I/O and no clock;
// times are in seconds.
#pragma once
#include <cstddef>
#include <vector>

namespace snowshore::platform {

class ProcessContinuity {
 public:
  // The process that is heard now has been running since `since` at the latest: the connection that carries
  // the data was established then, or the session of the message was known then to be held.
  void heard(double since, double now);
  // Whether a session that was known to be held at that time is held by the process that was heard last.
  bool includes(double held_at) const;
  // When the process was heard last; negative before the first time.
  double heard_at() const { return spans_.empty() ? -1 : spans_.back().until; }

 private:
  // A time in which one process ran. Between two spans the process may have changed.
  struct Span {
    double since = 0, until = 0;
  };
  // In order of time, the current process last.
  std::vector<Span> spans_;
};

} // namespace snowshore::platform
