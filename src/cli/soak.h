// The command `snowshore-lab soak`: its options, and the runs of the seeds that they name.
#pragma once
#include "soak/soak.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace snowshore::cli {

class SoakCommand {
 public:
  // Adds the command and its options to the application.
  explicit SoakCommand(CLI::App &app);
  bool is_asked_for() const { return command_->parsed(); }
  // Runs all seeds in turn. `default_program` is the front end's program if --program is missing. Returns 0
  // if no run broke a rule, else 1. Throws std::runtime_error if --only names an unknown fault.
  int run(const std::string &default_program);

 private:
  // Runs one seed and prints its result. Returns 0 if no rule was broken, else 1.
  int run_seed(std::uint64_t seed);

  CLI::App *command_;
  soak::ScenarioOverrides overrides_;
  soak::RunOptions options_;
  std::uint64_t seed_ = 1;
  std::string seeds_, broken_rule_;
  std::vector<std::string> only_faults_;
  bool table_only_ = false;
};

} // namespace snowshore::cli
