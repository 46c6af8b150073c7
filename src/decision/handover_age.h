// What is known of the age of a session that a client hands over, and of its server. A server that has
// started since the session was set up does not hold it any more. No I/O, no clock. Times are in seconds.
#pragma once
#include <algorithm>
#include <optional>

namespace snowshore {

struct HandoverAge {
  // Clients hand over the sessions of the front end's earlier run as soon as its first test has passed. Later
  // ones may come from another front end and be younger than this run.
  static constexpr double kStartWindow = 2;
  // A front end is not away for longer: a zone is lost for 5 s, and a front end takes 30 s at most to be
  // ready.
  static constexpr double kLongestAbsence = 60;
};

// When a session that is handed over can have been set up at the latest. run_started_at: when this run of the
// front end started. first_test_at: when its first test passed, or nothing.
inline double latest_set_up_time(double now, double run_started_at, std::optional<double> first_test_at) {
  bool from_earlier_run = !first_test_at || now - *first_test_at <= HandoverAge::kStartWindow;
  return from_earlier_run ? std::min(now, run_started_at) : now;
}

// Whether a server that started at this time may not hold a session that was handed over at `handed_over_at`,
// since the session may be older. 0: the server started long ago.
inline bool may_predate_server(double handed_over_at, double server_started_at) {
  return server_started_at > handed_over_at - HandoverAge::kLongestAbsence;
}

} // namespace snowshore
