// gNMI over gRPC: the manager's reads and sets as Capabilities, Get, Set and Subscribe. Threads are gRPC's
// own; one for each call under way, so that a slow client holds nobody else up.
#pragma once
#include "management/manager.h"

#include <memory>

namespace snowshore::management {

class Service {
 public:
  // Listens at once; throws std::runtime_error when it cannot, or when a certificate cannot be read.
  Service(ConfigManager &manager, const site::ManagementSettings &terms);
  ~Service(); // ends all calls under way
  int port() const;

 private:
  class Gnmi;
  std::unique_ptr<Gnmi> gnmi_;
};

} // namespace snowshore::management
