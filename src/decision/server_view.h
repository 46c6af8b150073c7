// What the decision engine holds of a server, for operators. No decision depends on this view.
#pragma once

namespace snowshore {

struct ServerView {
  // Failures since the last success; they lengthen the time for which the server is avoided.
  int consecutive_failures = 0, plays = 0;
  bool avoided = false, may_be_cold = false;
  // Demanded rate divided by capacity, as last reported, and the age of that report in seconds; an age below
  // 0 means that there was no report.
  double link_demand = 0, link_age = -1, uplink_demand = 0, uplink_age = -1;
};

} // namespace snowshore
