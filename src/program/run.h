// The front end's process: the edge, and the management interface where the configuration has it on.
#pragma once
#include "edge/edge.h"

#include <string>
#include <vector>

namespace snowshore::program {

// Reads the record files, serves until SIGTERM or SIGINT, and reads the files again on SIGHUP. Returns the
// exit code of the process: 0 after a drain, 2 after an error, which is printed to standard error.
int run_edge(const std::vector<std::string> &record_files, const std::string &version,
             edge::DecisionEngineFactory engine_factory = make_decision_engine);

} // namespace snowshore::program
