#include "cli/soak.h"

#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>

namespace snowshore::cli {

namespace {

constexpr double kLateRun = 0.1; // seconds: a run whose own loop was so late is said to have run late
constexpr std::size_t kShown = 12;

soak::FaultKind kind_of(const std::string &name) {
  for (int k = 0; k < soak::kFaultKindCount; ++k) {
    if (name == soak::name_of(static_cast<soak::FaultKind>(k))) return static_cast<soak::FaultKind>(k);
  }
  throw std::runtime_error("no fault '" + name + "'");
}

} // namespace

SoakCommand::SoakCommand(CLI::App &app)
    : command_(app.add_subcommand(
          "soak", "Real front ends under traffic and overlapping faults, judged by what others saw")) {
  options_.folder = "soak-out";
  command_->add_option("--seed", seed_, "Of deployment, traffic and faults")->capture_default_str();
  command_->add_option("--seeds", seeds_, "A..B: one run after another");
  command_->add_option("--front-ends", overrides_.front_ends, "In place of the seed's")
      ->check(CLI::Range(1, 40));
  command_->add_option("--servers", overrides_.servers, "In place of the seed's")->check(CLI::Range(1, 3200));
  command_->add_option("--lasts", overrides_.traffic_duration, "Seconds of traffic")->check(CLI::Range(1, 3600));
  command_->add_option("--core-share", overrides_.core_share, "Part of a core for each front end")
      ->check(CLI::Range(0.02, 1.0));
  command_->add_option("--deadline", overrides_.deadline, "Seconds, of all classes")
      ->check(CLI::Range(0.1, 60.0));
  command_->add_option("--rate", overrides_.request_rate, "Requests a second at each front end")
      ->check(CLI::Range(0.1, 500.0));
  command_->add_option("--sockets", overrides_.sockets, "Descriptors of a front end")
      ->check(CLI::Range(64, 4096));
  command_->add_option("--session", overrides_.mean_session_length, "Mean length of a session, seconds")
      ->check(CLI::Range(0.1, 600.0));
  command_->add_option("--only", only_, "These faults and no others");
  command_->add_flag("--no-faults", overrides_.no_faults, "Traffic alone");
  command_->add_flag("--table", table_, "One line a seed, with what a front end used");
  command_->add_option("--break", breaks_, "A rule that is broken on purpose, to see that it is found");
  command_->add_option("--out", options_.folder, "Folder for configurations and logs; made anew")
      ->capture_default_str();
  command_->add_option("--program", options_.program, "The front end's program (default: beside this one)");
}

int SoakCommand::run_seed(std::uint64_t seed) {
  soak::Scenario scenario = soak::draw_scenario(seed, overrides_);
  scenario.broken_rule = breaks_;
  if (!table_) std::printf("%s\n", soak::describe(scenario).c_str());
  std::fflush(stdout);
  soak::RunResult result = soak::run(scenario, options_);
  std::map<std::string, int> rules;
  for (const soak::Violation &one : result.violations) ++rules[soak::name_of(one.rule)];
  std::string broken;
  for (const auto &[rule, count] : rules) broken += " " + rule + ":" + std::to_string(count);
  std::printf("seed %llu %s%s%s; %d x %d; cpu %.3f s, peak %.1f MB, %.0f descriptors, %.0f connections, %.0f "
              "kB of lists; %s\n",
              static_cast<unsigned long long>(seed), broken.empty() ? "kept" : "BROKEN", broken.c_str(),
              result.late_by > kLateRun ? " (ran late)" : "", scenario.deployment.front_ends,
              scenario.deployment.servers, result.usage.cpu, result.usage.peak_mb, result.usage.descriptors,
              result.usage.connections, result.usage.list_kb, result.summary.c_str());
  std::size_t shown = 0;
  for (const soak::Violation &one : result.violations) {
    if (shown++ >= kShown) break;
    std::printf("  %8.3f %s: %s (session %016llx)\n", one.time, soak::name_of(one.rule), one.message.c_str(),
                static_cast<unsigned long long>(one.session));
  }
  if (!result.violations.empty()) {
    std::printf("%s  again: snowshore-lab soak --seed %llu%s\n", result.timelines.c_str(),
                static_cast<unsigned long long>(seed),
                breaks_.empty() ? "" : (" --break " + breaks_).c_str());
    std::printf("  its own loop was late by %.3f s at worst\n", result.late_by);
  }
  std::fflush(stdout);
  return result.violations.empty() ? 0 : 1;
}

int SoakCommand::run(const std::string &beside) {
  if (options_.program.empty()) options_.program = beside;
  options_.program = std::filesystem::absolute(options_.program).string();
  options_.folder = std::filesystem::absolute(options_.folder).string();
  std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  options_.shim = (own / "libsnowshore_soak_shim.so").string();
  for (const std::string &name : only_) overrides_.only_faults.push_back(kind_of(name));
  std::uint64_t first = seed_, last = seed_;
  if (std::size_t dots = seeds_.find(".."); dots != std::string::npos) {
    first = std::stoull(seeds_.substr(0, dots));
    last = std::stoull(seeds_.substr(dots + 2));
  }
  int broken = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) broken += run_seed(seed);
  if (last > first)
    std::printf("%llu of %llu seeds kept the rules\n",
                static_cast<unsigned long long>(last - first + 1 - static_cast<std::uint64_t>(broken)),
                static_cast<unsigned long long>(last - first + 1));
  return broken == 0 ? 0 : 1;
}

} // namespace snowshore::cli
