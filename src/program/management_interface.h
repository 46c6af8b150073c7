// The management interface that runs in the edge's process, in builds that have it.
#pragma once
#include "edge/edge.h"

#include <functional>
#include <memory>
#include <string>

namespace snowshore::program {

// Its functions are called in the thread of the edge's executor.
class ManagementInterface {
 public:
  virtual ~ManagementInterface() = default;
  // Reads the stored history and returns the configuration in force. `config`, which the files give, becomes
  // a new revision where the files have changed since they were last read.
  virtual config::FrontConfig start(const config::FrontConfig &config) = 0;
  // Starts to serve the edge; returns the port.
  virtual int attach(asio::io_context &io, edge::Edge &edge, telemetry::Log &log) = 0;
  // Called on SIGHUP with the files' configuration; logs whether it was applied.
  virtual void apply_files(const config::FrontConfig &next) = 0;
  // Stops serving; called before the edge is destroyed.
  virtual void detach() = 0;
};

// Returns null where the configuration has management off. Throws std::runtime_error where it is on and this
// build has no management.
std::unique_ptr<ManagementInterface> make_management(const config::FrontConfig &config,
                                                     const std::string &version);

} // namespace snowshore::program
