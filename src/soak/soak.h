// One run of the randomized fault soak. It starts real front ends on loopback among stand-in clients, servers
// and discovery, injects the scenario's faults, and judges the run by the ledger.
#pragma once
#include "soak/ledger.h"
#include "soak/scenario.h"

#include <string>
#include <vector>

namespace snowshore::soak {

struct RunOptions {
  // Paths of the front end's program, of the library that is preloaded into it (shim.cpp), and of the folder
  // for configurations and logs. The folder is deleted and created anew.
  std::string program, shim, output_folder;
};

// What a front end used over the run, as the mean of all front ends.
struct MeanUsage {
  double cpu_seconds = 0, peak_mb = 0, descriptors = 0, connections = 0, list_kb = 0;
};

struct RunResult {
  std::vector<Violation> violations;
  Ledger::Counts counts;
  std::string summary;   // the ledger's counts as one line
  std::string timelines; // of the sessions of the first violations
  MeanUsage usage;
  // The longest delay of the run's own event loop, in seconds. A run that was late may show violations that
  // are not the front ends' fault.
  double max_loop_delay = 0;
};

// Runs the scenario and blocks until it ends. Throws if a process or a file can't be created.
RunResult run_scenario(const Scenario &scenario, const RunOptions &options);

} // namespace snowshore::soak
