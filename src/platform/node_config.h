// The configuration that the platform gives a front end at its start and at SIGHUP: the file NODE_CONFIG,
// which is checked as a whole, and the limits derived from it. Each error message names the path in the file
// and the reason.
#pragma once
#include "discovery/frames.h"
#include "edge/core.h"

#include <stdexcept>
#include <string>

namespace snowshore::platform {

struct NodeConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// How file descriptors and memory are divided; docs/platform.md has the source of each number.
struct ResourceLimits {
  // Descriptors for the process itself, for connections of viewers and for connections to servers.
  std::size_t own_descriptors = 0, viewer_descriptors = 0, server_descriptors = 0;
  // The part of own_descriptors for connections to servers that are half-closed.
  std::size_t half_closed_descriptors = 0;
  // Bytes of session descriptions of plays without an answer.
  std::size_t max_description_bytes = 0;
  // Bytes that all connections of viewers together hold, received and not handled or not sent yet.
  std::size_t max_buffered_viewer_bytes = 0;
  // Bytes written and not yet sent, on one connection.
  std::size_t max_unsent_viewer_bytes = 0, max_unsent_server_bytes = 0;
};

// The checked contents of the file. Durations are seconds.
struct NodeConfig {
  std::string name;
  asio::ip::tcp::endpoint listen, channel;
  std::uint64_t seed = 0;
  std::size_t sockets = 0, memory_mb = 0;
  double cores = 1;
  discovery::List initial_list;
  discovery::NameTables places;
  edge::CoreSettings core;
  int rungs = 0, cells = 1;
  bool may_advise_return = true;
  // The longest time for which viewers stay away when they are told to retry later.
  double longest_retry_after = 0;
  double connect_timeout = 0, idle_timeout = 0, feedback_interval = 0, longest_time_limit = 0;
  // Set-ups that may be pending on one connection to a server.
  std::size_t set_ups_per_connection = 1;
  ResourceLimits resource_limits;
};

// Parses the text of the file. Throws NodeConfigError.
NodeConfig parse_node_config(const std::string &text);
// Reads and parses the file. Throws NodeConfigError.
NodeConfig load_node_config(const std::string &file);
// Returns why `next` cannot replace the configuration in service, or nothing where it can. It cannot where
// plays in progress, the decision engine or the listener would continue with values other than those of the
// new file; another order or other names of classes are such a case.
std::optional<std::string> reload_refusal(const NodeConfig &current, const NodeConfig &next);
// Divides the descriptors and the memory that the platform grants.
ResourceLimits compute_resource_limits(std::size_t sockets, std::size_t memory_mb);

} // namespace snowshore::platform
