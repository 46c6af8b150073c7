// The front end on the platform: the core between the gateways to viewers and to media servers, with the
// command channel as its list source. Everything runs on one executor and one thread.
#pragma once
#include "decision/drain_budget.h"
#include "discovery/client.h"
#include "platform/node_config.h"
#include "platform/rtsp_server_gateway.h"
#include "platform/viewer_gateway.h"

#include <functional>
#include <optional>

namespace snowshore::platform {

class PlatformFront {
 public:
  // Binds the listening address and starts to serve. Throws std::system_error.
  PlatformFront(asio::io_context &io, NodeConfig config, telemetry::Log &log);
  ~PlatformFront();
  edge::Core &core() { return core_; }
  ViewerGateway &viewers() { return viewers_; }
  RtspServerGateway &servers() { return servers_; }

  // Numbers of servers that loops have looked at since the start, by purpose: list updates, placements, and
  // periodic work. They measure costs that must not grow with the length of the list.
  struct ServerScans {
    std::uint64_t for_lists = 0, for_placements = 0, idle = 0;
  };
  ServerScans server_scans();

  // Replaces the configuration by the changed one. Returns the reason where that is not possible; then
  // nothing has changed.
  std::optional<std::string> reload(NodeConfig next);
  // Shuts down in an orderly way: serves new requests while they may still arrive, then declines them and
  // answers the pending ones. Calls `done` on the executor at the end.
  void drain(std::function<void()> done);

 private:
  // Waits until nothing is left to be sent to anybody, at most until this time of the steady clock.
  void wait_until_drained(double until);
  void finish_drain();
  void schedule_summary();

  asio::io_context &io_;
  NodeConfig config_;
  telemetry::Log &log_;
  ViewerGateway viewers_;
  RtspServerGateway servers_;
  // Owned by core_.
  discovery::Client *channel_;
  edge::Core core_;
  asio::steady_timer drain_timer_, summary_timer_;
  std::function<void()> on_drained_;
  // Time of the steady clock.
  double drain_started_at_ = 0;
  DrainBudget budget_;
};

} // namespace snowshore::platform
