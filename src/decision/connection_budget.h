// Which connection to a server is closed when all that servers may have are in use and another is wanted. No
// I/O, no clock. The order: one of a server without sessions; one of several to a server; at last the only
// one of a server with sessions, the longest open first. Such a server is visited again soon: a connection is
// opened on which it says what it could not say meanwhile.
#pragma once
#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <span>

namespace snowshore {

struct ConnectionUse { // of one server that has a connection without set-ups, which may be closed
  int server = 0;
  std::size_t sessions = 0, connections = 0;
  double open_since = 0; // of the oldest connection without set-ups, seconds
};

struct ConnectionBudget {
  // A release that could not be sent is owed to its client 8 s after the session's end (protocol page): three
  // visits fit, one of them may fail.
  static constexpr double kVisitEvery = 2.5;
  static constexpr double kLeastStay =
      0.3; // a connection that was opened for a visit stays so long to be heard on
};

// The server whose connection goes, or nothing where none may.
inline std::optional<int> connection_to_close(std::span<const ConnectionUse> uses, double now) {
  auto rank = [](const ConnectionUse &one) { return one.sessions == 0 ? 0 : one.connections > 1 ? 1 : 2; };
  const ConnectionUse *best = nullptr;
  for (const ConnectionUse &one : uses) {
    if (rank(one) == 2 && now - one.open_since < ConnectionBudget::kLeastStay) continue;
    bool better =
        !best || rank(one) < rank(*best) || (rank(one) == rank(*best) && one.open_since < best->open_since);
    if (better) best = &one;
  }
  return best ? std::optional(best->server) : std::nullopt;
}

} // namespace snowshore
