// What discovery says of one server, and lists of such entries.
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
  // The same at every front end; where it is absent, it is derived from the id.
  std::optional<std::uint64_t> stable_id;
  asio::ip::tcp::endpoint address;
  int cell = 0;
  // The start is given in epoch seconds; 0 where the server started long ago.
  double weight = 1, started_at = 0;
  ServerStatus status = ServerStatus::active;
};

// A whole list, which replaces the previous one, or a change: one entry for each server that it concerns.
struct ServerList {
  std::uint64_t version = 0;
  std::vector<ListedServer> servers;
};

} // namespace snowshore::registry
