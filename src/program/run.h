// The front's program: the edge, and where its record asks for it the management beside it, in one process.
#pragma once
#include "edge/edge.h"

#include <string>
#include <vector>

namespace snowshore::program {

// Reads the records, serves until SIGTERM, reads them again on SIGHUP. The process's exit code.
int run_edge(const std::vector<std::string> &record_files, const std::string &version,
             edge::DecisionEngineFactory make = make_decision_engine);

} // namespace snowshore::program
