// What a front holds of a server, for operators to look at; nothing is decided by it.
#pragma once

namespace snowshore {

struct ServerView { // ages in seconds, below 0: never told
  int strikes = 0, plays = 0;
  bool avoided = false, may_be_cold = false;
  double link_use = 0, link_age = -1, uplink_use = 0, uplink_age = -1; // asked over given, as last told
};

} // namespace snowshore
