// A snapshot of a front end's state for operators. It is copied on the front end's executor and may then be
// read in any thread.
#pragma once
#include "decision/policy.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace snowshore::config {

struct FrontSnapshot {
  // One listed server, and what the decision engine knows of it.
  struct ServerState {
    std::string id;
    ServerStatus status = ServerStatus::active;
    ServerView view;
  };
  // The id of this run of the process, and "starting", "serving" or "draining".
  std::string boot, service;
  // Seconds; the list's age is -1 while there is no list.
  double uptime = 0, list_age = -1;
  std::uint64_t list_version = 0;
  // Number of plays by state, and of answers by outcome.
  std::vector<std::pair<std::string, std::uint64_t>> plays, answers;
  std::vector<ServerState> servers;
};

} // namespace snowshore::config
