// What may stand beside the edge in its process: management, in builds that have it.
#pragma once
#include "edge/edge.h"

#include <functional>
#include <memory>
#include <string>

namespace snowshore::program {

class Beside {
 public:
  virtual ~Beside() = default;
  virtual site::FrontConfig start(const site::FrontConfig &record) = 0;                // the record in force
  virtual int attach(asio::io_context &io, edge::Edge &edge, telemetry::Log &log) = 0; // its port
  virtual void take_files(const site::FrontConfig &next) = 0; // on SIGHUP; says in the log what came of it
  virtual void detach() = 0;                                  // before the edge goes
};

// Nothing where the record asks for none; throws where it does and this build has none.
std::unique_ptr<Beside> make_beside(const site::FrontConfig &record, const std::string &version);

} // namespace snowshore::program
