// Runs the front end on the platform: reads NODE_CONFIG, starts the core with the platform's gateways, and
// handles signals.
#pragma once
#include <string>

namespace snowshore::platform {

// Serves until SIGTERM; SIGHUP reloads the configuration. Returns the exit code of the process: 0 after
// SIGTERM, 2 where the configuration cannot be used or another error ends the run.
int run_platform(const std::string &log_level);

} // namespace snowshore::platform
