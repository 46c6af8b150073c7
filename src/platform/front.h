// One front on the platform: the core between the viewers' and the servers' door, with the command channel as
// its list source. One executor, one thread.
#pragma once
#include "decision/drain_budget.h"
#include "feed/client.h"
#include "platform/boot.h"
#include "platform/servers.h"
#include "platform/viewers.h"

#include <functional>
#include <optional>

namespace snowshore::platform {

class PlatformFront {
 public:
  PlatformFront(asio::io_context &io, NodeConfig boot, telemetry::Log &log); // throws std::system_error
  ~PlatformFront();
  edge::Core &core() { return core_; }
  ViewerGateway &viewers() { return viewers_; }
  RtspServerGateway &servers() { return servers_; }

  // Servers looked at so far, whatever for: cost that must not grow with the list.
  struct Work {
    std::uint64_t for_lists = 0, for_placements = 0, idle = 0;
  };
  Work work();

  // The file as it is now, in place of the last; why it can't be taken (then nothing has changed).
  std::optional<std::string> change(NodeConfig next);
  // The planned end: goes on serving while requests may still come, then answers what it has and is done.
  void drain(std::function<void()> done);

 private:
  void look_drained(double until);
  void finish();
  void report();

  asio::io_context &io_;
  NodeConfig boot_;
  telemetry::Log &log_;
  ViewerGateway viewers_;
  RtspServerGateway servers_;
  feed::Client *channel_;
  edge::Core core_;
  asio::steady_timer drain_timer_, report_timer_;
  std::function<void()> drained_;
  double drain_began_ = 0; // of the steady clock
  DrainBudget budget_;
};

} // namespace snowshore::platform
