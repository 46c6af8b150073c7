// `snowshore-lab soak`: its options, and the runs of the seeds that it names.
#pragma once
#include "soak/soak.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace snowshore::cli {

class SoakCommand {
 public:
  explicit SoakCommand(CLI::App &app);
  bool is_asked_for() const { return command_->parsed(); }
  // beside: the front end's program where none was named. 0: every seed kept the rules.
  int run(const std::string &beside);

 private:
  int run_seed(std::uint64_t seed);

  CLI::App *command_;
  soak::ScenarioOverrides overrides_;
  soak::RunOptions options_;
  std::uint64_t seed_ = 1;
  std::string seeds_, breaks_;
  std::vector<std::string> only_;
  bool table_ = false;
};

} // namespace snowshore::cli
