// What the platform tells a front at its start and at SIGHUP: the file NODE_CONFIG, checked whole, and the
// limits derived from it. Every fault names the path in the file and the reason.
#pragma once
#include "edge/core.h"
#include "feed/frames.h"

#include <stdexcept>
#include <string>

namespace snowshore::platform {

struct BootError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Shares { // of descriptors and bytes; see docs/platform.md for where each comes from
  std::size_t own = 0, viewers = 0, servers = 0; // descriptors
  std::size_t held_bytes = 0;                    // of descriptions of plays without an answer
  std::size_t unsent_viewer = 0, unsent_server = 0;
};

struct Boot {
  std::string name;
  asio::ip::tcp::endpoint listen, channel;
  std::uint64_t seed = 0;
  std::size_t sockets = 0, memory_mb = 0;
  double cores = 1;
  feed::List known;
  feed::Places places;
  edge::CoreTerms core;
  int rungs = 0, cells = 1;
  bool may_advise_return = true;
  double longest_retry_after = 0; // seconds that viewers keep away at most
  double connect_time = 0, idle_time = 0, note_interval = 0, longest_limit = 0; // seconds
  std::size_t streams = 1; // set-ups open on one connection to a server
  Shares shares;
};

Boot read_boot(const std::string &text); // throws BootError
Boot load_boot(const std::string &file); // likewise
// Why `next` can't take the place of what is in service, or nothing. It is refused where plays in hand, the
// module or the listener would go on by other terms than those of the new file: another order or name of
// classes too.
std::optional<std::string> refusal_of(const Boot &now, const Boot &next);
Shares share_out(std::size_t sockets, std::size_t memory_mb);

} // namespace snowshore::platform
