// When a session that a client hands over can have been set up at the latest. A server that has started since
// then does not hold it any more. No I/O, no clock. Times are in seconds.
#pragma once
#include <algorithm>
#include <optional>

namespace snowshore {

struct HandoverAge {
  // Clients hand over the sessions of the front end's earlier run as soon as its first test has passed. Later
  // ones may come from another front end and be younger than this run.
  static constexpr double kStartWindow = 2;
  // An earlier run has set up nothing in this time before the next one started: it was draining, or its
  // process was gone.
  static constexpr double kRestartTime = 2;
  // A front end is not away for longer, so that a session which is handed over was set up in this time before
  // or later.
  static constexpr double kLongestAbsence = 60;
};

// run_started_at: when this run of the front end started. first_test_at: when its first test passed, or
// nothing.
inline double latest_set_up_time(double now, double run_started_at, std::optional<double> first_test_at) {
  bool from_earlier_run = !first_test_at || now - *first_test_at <= HandoverAge::kStartWindow;
  return from_earlier_run ? std::min(now, run_started_at - HandoverAge::kRestartTime) : now;
}

// Whether a server that started at this time may not hold a session that was handed over at `now`, since the
// session may be older. 0: the server started long ago.
inline bool may_predate_server(double now, double server_started_at) {
  return server_started_at > now - HandoverAge::kLongestAbsence;
}

} // namespace snowshore
