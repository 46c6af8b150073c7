// The front on the platform: NODE_CONFIG read, the core joined to the platform's doors, signals, the log's
// summary.
#pragma once
#include <string>

namespace snowshore::platform {

// Serves until SIGTERM. The process's exit code: 0 after SIGTERM, 2 where the configuration can't be used.
int run_platform(const std::string &log_level);

} // namespace snowshore::platform
