// What a front holds and sees at one moment, for operators: a copy, taken on its executor.
#pragma once
#include "decision/policy.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace snowshore::site {

struct FrontState {
  struct ServerState {
    std::string id;
    Standing standing = Standing::active;
    ServerView view;
  };
  std::string boot, service;
  double uptime = 0, list_age = -1; // seconds; -1: no list yet
  std::uint64_t list_version = 0;
  std::vector<std::pair<std::string, std::uint64_t>> plays, answers; // by state, by outcome
  std::vector<ServerState> servers;
};

} // namespace snowshore::site
