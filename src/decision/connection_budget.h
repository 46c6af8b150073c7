// Chooses the connection to close when all connections that servers may have are in use and another one is
// wanted. No I/O, no clock. Connections go in this order: to a server without sessions; to a server with
// several connections; last, the only connection to a server with sessions. Within each class the one that
// has been open longest goes first. A server whose only connection was closed is revisited soon: a new
// connection is opened, on which the server says what it could not say meanwhile.
#pragma once
#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <span>

namespace snowshore {

// The connections to one server that has at least one without set-ups, which may be closed.
struct ServerConnections {
  int server = 0;
  std::size_t sessions = 0, connections = 0;
  // Time at which the oldest connection without set-ups was opened, in seconds.
  double open_since = 0;
};

struct ConnectionBudget {
  // Seconds between two visits to a server whose connection was closed. A release that could not be sent is
  // owed to its client 8 s after the session's end (protocol page): three visits fit into that time, and one
  // of them may fail.
  static constexpr double kRevisitInterval = 2.5;
  // Seconds that a connection opened for a visit stays open, so that the server can be heard on it.
  static constexpr double kMinVisitTime = 0.3;
};

// Returns the server whose connection is to be closed, or nothing where none may be.
inline std::optional<int> connection_to_close(std::span<const ServerConnections> connections_by_server,
                                              double now) {
  auto rank = [](const ServerConnections &candidate) {
    return candidate.sessions == 0 ? 0 : candidate.connections > 1 ? 1 : 2;
  };
  const ServerConnections *best = nullptr;
  for (const ServerConnections &candidate : connections_by_server) {
    if (rank(candidate) == 2 && now - candidate.open_since < ConnectionBudget::kMinVisitTime) continue;
    bool better = !best || rank(candidate) < rank(*best) ||
                  (rank(candidate) == rank(*best) && candidate.open_since < best->open_since);
    if (better) best = &candidate;
  }
  return best ? std::optional(best->server) : std::nullopt;
}

} // namespace snowshore
