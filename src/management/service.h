// The gNMI service over gRPC: Capabilities, Get, Set and Subscribe on top of the configuration manager.
// gRPC's own threads serve the calls, one thread for each call in progress, so that a slow client delays no
// other.
#pragma once
#include "management/manager.h"

#include <memory>

namespace snowshore::management {

class Service {
 public:
  // Starts listening. Throws std::runtime_error if the address is not available or a certificate cannot be
  // read.
  Service(ConfigManager &manager, const config::ManagementSettings &terms);
  // Cancels all calls in progress.
  ~Service();
  int port() const;

 private:
  class Gnmi;
  std::unique_ptr<Gnmi> gnmi_;
};

} // namespace snowshore::management
