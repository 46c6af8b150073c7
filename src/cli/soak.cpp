#include "cli/soak.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <map>
#include <stdexcept>

namespace snowshore::cli {

namespace {

// A run whose own event loop was late by more than this many seconds is printed as "ran late".
constexpr double kLateLoopThreshold = 0.1;
// The violations that are printed for one seed at most.
constexpr std::size_t kMaxShownViolations = 12;

soak::FaultKind parse_fault_kind(const std::string &name) {
  for (int k = 0; k < soak::kFaultKindCount; ++k) {
    if (name == soak::name_of(static_cast<soak::FaultKind>(k))) return static_cast<soak::FaultKind>(k);
  }
  throw std::runtime_error("unknown fault '" + name + "'");
}

} // namespace

SoakCommand::SoakCommand(CLI::App &app)
    : command_(app.add_subcommand(
          "soak", "Real front ends under traffic and overlapping faults, judged by what others saw")) {
  // Runs beside each other take different folders.
  options_.output_folder = "soak-out-" + std::to_string(::getpid());
  command_->add_option("--seed", seed_, "Seed from which deployment, traffic and faults are drawn")
      ->capture_default_str();
  command_->add_option("--seeds", seeds_, "Range A..B of seeds, run one after another");
  command_->add_option("--front-ends", overrides_.front_ends, "Number of front ends (default: drawn)")
      ->check(CLI::Range(1, 40));
  command_->add_option("--servers", overrides_.servers, "Number of servers (default: drawn)")
      ->check(CLI::Range(1, 3200));
  command_->add_option("--lasts", overrides_.traffic_duration, "Seconds of traffic")
      ->check(CLI::Range(1, 3600));
  command_->add_option("--core-share", overrides_.core_share, "Share of a core for each front end")
      ->check(CLI::Range(0.02, 1.0));
  command_->add_option("--deadline", overrides_.deadline, "Deadline of all classes in seconds")
      ->check(CLI::Range(0.1, 60.0));
  command_->add_option("--rate", overrides_.request_rate, "Requests per second at each front end")
      ->check(CLI::Range(0.1, 500.0));
  command_->add_option("--sockets", overrides_.sockets, "Limit of descriptors of a front end")
      ->check(CLI::Range(64, 4096));
  command_->add_option("--session", overrides_.mean_session_length, "Mean length of a session in seconds")
      ->check(CLI::Range(0.1, 600.0));
  command_->add_option("--only", only_faults_, "Inject only these faults");
  command_->add_flag("--no-faults", overrides_.no_faults, "Inject no faults");
  command_->add_flag("--first-stream-only", overrides_.first_stream_only,
                     "Inject only faults of the kinds up to bad_clients");
  command_->add_flag("--table", table_only_, "Print no description of the scenario before the result");
  command_->add_option("--break", broken_rule_, "Break this rule on purpose, to check that it is reported");
  command_->add_option(
      "--out", options_.output_folder,
      "Folder for configurations and logs; deleted and created anew (default: soak-out-PID)");
  command_->add_option("--program", options_.program,
                       "Path of the front end's program (default: next to this one)");
}

int SoakCommand::run_seed(std::uint64_t seed) {
  soak::Scenario scenario = soak::draw_scenario(seed, overrides_);
  scenario.broken_rule = broken_rule_;
  if (!table_only_) std::printf("%s\n", soak::describe(scenario).c_str());
  std::fflush(stdout);
  soak::RunResult result = soak::run_scenario(scenario, options_);
  std::map<std::string, int> rules;
  for (const soak::Violation &violation : result.violations) ++rules[soak::name_of(violation.rule)];
  std::string broken;
  for (const auto &[rule, count] : rules) broken += " " + rule + ":" + std::to_string(count);
  std::printf("seed %llu %s%s%s; %d x %d; cpu %.3f s, peak %.1f MB, %.0f descriptors, %.0f connections, %.0f "
              "kB of lists; %s\n",
              static_cast<unsigned long long>(seed), broken.empty() ? "kept" : "BROKEN", broken.c_str(),
              result.max_loop_delay > kLateLoopThreshold ? " (ran late)" : "", scenario.deployment.front_ends,
              scenario.deployment.servers, result.usage.cpu_seconds, result.usage.peak_mb,
              result.usage.descriptors, result.usage.connections, result.usage.list_kb,
              result.summary.c_str());
  std::size_t shown = 0;
  for (const soak::Violation &violation : result.violations) {
    if (shown++ >= kMaxShownViolations) break;
    std::printf("  %8.3f %s: %s (session %016llx)\n", violation.time, soak::name_of(violation.rule),
                violation.message.c_str(), static_cast<unsigned long long>(violation.session));
  }
  if (!result.violations.empty()) {
    std::printf("%s  again: snowshore-lab soak --seed %llu%s\n", result.timelines.c_str(),
                static_cast<unsigned long long>(seed),
                broken_rule_.empty() ? "" : (" --break " + broken_rule_).c_str());
    std::printf("  its own loop was late by %.3f s at worst\n", result.max_loop_delay);
  }
  std::fflush(stdout);
  return result.violations.empty() ? 0 : 1;
}

int SoakCommand::run(const std::string &default_program) {
  if (options_.program.empty()) options_.program = default_program;
  options_.program = std::filesystem::absolute(options_.program).string();
  options_.output_folder = std::filesystem::absolute(options_.output_folder).string();
  std::filesystem::path program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  options_.shim = (program_folder / "libsnowshore_soak_shim.so").string();
  for (const std::string &name : only_faults_) overrides_.only_faults.push_back(parse_fault_kind(name));
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
