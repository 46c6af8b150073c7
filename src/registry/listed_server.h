// What discovery says of a server, and of several at a time.
#pragma once
#include "decision/policy.h"

#include <asio.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snowshore::registry {

struct ListedServer {
  std::string id, hall, kind;
  std::optional<std::uint64_t> number; // the same at every front; without one it is made of the id
  asio::ip::tcp::endpoint address;
  int cell = 0;
  double weight = 1, started = 0; // started: epoch seconds, 0: long ago
  Standing standing = Standing::active;
};

// A whole list, in place of the last, or what has changed since: one entry for each server that the change
// names.
struct ServerList {
  std::uint64_t version = 0;
  std::vector<ListedServer> servers;
};

} // namespace snowshore::registry
