// make_management() of builds without management.
#include "program/management_interface.h"

#include <stdexcept>

namespace snowshore::program {

std::unique_ptr<ManagementInterface> make_management(const config::FrontConfig &config, const std::string &) {
  if (!config.management.listen.empty())
    throw std::runtime_error("management.listen: this build has no management (SNOWSHORE_MANAGEMENT)");
  return nullptr;
}

} // namespace snowshore::program
