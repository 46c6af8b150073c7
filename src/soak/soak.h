// One run of the randomized fault soak: real front ends on loopback between stand-in clients, servers and
// discovery, with the scenario's faults, judged by the ledger.
#pragma once
#include "soak/ledger.h"
#include "soak/scenario.h"

#include <string>
#include <vector>

namespace snowshore::soak {

struct RunOptions {
  std::string program, shim, folder; // folder: made anew; configurations and logs
};

struct MeanUsage { // of a front end, over the run
  double cpu = 0, peak_mb = 0, descriptors = 0, connections = 0, list_kb = 0;
};

struct RunResult {
  std::vector<Violation> violations;
  Ledger::Counts counts;
  std::string summary;   // of what happened
  std::string timelines; // of the sessions of the first violations
  MeanUsage usage;
  double late_by = 0; // the run's own loop, at worst; seconds
};

RunResult run(const Scenario &scenario, const RunOptions &options);

} // namespace snowshore::soak
