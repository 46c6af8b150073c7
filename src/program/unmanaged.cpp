#include "program/beside.h"

#include <stdexcept>

namespace snowshore::program {

std::unique_ptr<Beside> make_beside(const site::FrontConfig &record, const std::string &) {
  if (!record.management.listen.empty())
    throw std::runtime_error("management.listen: this build has no management (SNOWSHORE_MANAGEMENT)");
  return nullptr;
}

} // namespace snowshore::program
