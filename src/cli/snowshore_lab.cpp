// snowshore-lab: days against stand-ins, and the judge.
#include "lab/first_holder.h"
#include "lab/judge.h"
#include "lab/load.h"
#include "lab/run_day.h"
#include "program/run.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <iostream>

namespace {

using namespace snowshore;

// The front's program lies beside this one.
std::string program_beside() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "snowshore").string();
}

// One row a pace, doubling until what the front adds at p99 passes the limit, or one pace only.
int load(lab::LoadOptions options, bool baseline, bool ramp, double limit, const std::string &program) {
  if (baseline)
    options.command = {std::filesystem::read_symlink("/proc/self/exe").string(), "front", "--first-holder",
                       "--records"};
  else
    options.command = {program.empty() ? program_beside() : program, "edge", "--records"};
  std::printf("%-12s %7s %8s %8s %8s %9s %9s %9s %9s %9s %7s %8s %8s %8s %8s\n", "front", "servers", "rate/s",
              "asked", "plays", "added p50", "p99 ms", "seen p50", "p99 ms", "cpu us", "module", "held",
              "empty MB", "full MB", "after MB");
  for (double rate = options.rate;; rate *= 2) {
    options.rate = rate;
    lab::LoadFigures f;
    for (const lab::LoadFigures &one : lab::measure(options)) {
      f = one;
      std::printf(
          "%-12s %7d %8.0f %8llu %8llu %9.3f %9.3f %9.3f %9.3f %9.1f %6.0f%% %8.0f %8.1f %8.1f %8.1f\n",
          baseline ? "first holder" : "module", options.servers, rate,
          static_cast<unsigned long long>(f.asked), static_cast<unsigned long long>(f.plays),
          f.added_p50 * 1e3, f.added_p99 * 1e3, f.answer_p50 * 1e3, f.answer_p99 * 1e3, f.cpu_per_play * 1e6,
          f.in_module * 100, f.held, f.memory_empty / 1e6, f.memory_full / 1e6, f.memory_after / 1e6);
    }
    std::fflush(stdout);
    bool over = f.added_p99 > limit || f.plays < f.asked * 95 / 100 || f.cpu_per_play * rate > 0.95;
    if (!ramp || over || rate > 2e5) return 0;
  }
}

int judge_folder(const std::string &folder, bool in_full) {
  lab::Json scale = lab::Json::parse(std::ifstream(folder + "/scale.json"), nullptr, false);
  if (!scale.is_object()) throw std::runtime_error(folder + " holds no day that was played (scale.json)");
  lab::Day day = lab::read_day(records::load_file(folder + "/day.cue"), scale["fronts"], scale["servers"]);
  lab::Verdict verdict = lab::judge(day, lab::read_traces(folder));
  std::cout << day.name << ", seed " << scale["seed"] << ", " << day.fronts << " fronts, " << day.servers
            << " servers\n"
            << lab::report(verdict, in_full);
  return verdict.clean() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app(
      "snowshore-lab: plays days against stand-in servers and players, and judges them by their traffic");
  app.require_subcommand(1);
  app.footer("Examples:\n  snowshore-lab day days/bad-day.cue --seed 7 --out /tmp/day\n  snowshore-lab judge "
             "/tmp/day --full\n"
             "Exit codes: 0 kept, 1 a rule broken, 2 bad use or bad input.");
  std::string file, folder = "lab-out", program;
  std::uint64_t seed = 1;
  int fronts = 0, servers = 0;
  bool full = false;
  auto *day = app.add_subcommand("day", "Play a day and judge it");
  day->add_option("file", file, "The day's record")->required();
  day->add_option("--seed", seed, "Of all chance in the stand-ins")->capture_default_str();
  day->add_option("--out", folder, "Folder for traces, records and logs; made anew")->capture_default_str();
  day->add_option("--fronts", fronts, "In place of the record's number")->check(CLI::Range(1, 64));
  day->add_option("--servers", servers, "Likewise; plays, titles and racks grow with it")
      ->check(CLI::Range(1, 400));
  day->add_option("--program", program, "The front's program (default: beside this one)");
  auto *judge = app.add_subcommand("judge", "Judge a day that was played, from its folder");
  judge->add_option("folder", folder, "The folder that 'day' wrote")->required();
  for (auto *one : {day, judge}) one->add_flag("--full", full, "All evidence, not the first of each");
  lab::LoadOptions load_options;
  bool baseline = false, ramp = false, first_holder = false;
  double limit = 0.01;
  std::vector<std::string> records;
  auto *measure = app.add_subcommand("load", "Measure one front at a pace of plays, or at doubling paces");
  measure->add_option("--servers", load_options.servers, "Light servers that answer at once")
      ->capture_default_str();
  measure->add_option("--rate", load_options.rate, "Plays a second, to begin with")->capture_default_str();
  measure->add_option("--seconds", load_options.seconds, "For each pace")->capture_default_str();
  measure->add_option("--hold", load_options.hold, "Seconds that a play is held")->capture_default_str();
  measure->add_flag("--keep", load_options.keep, "Hold all plays until the last is set up, then end all");
  measure->add_option("--rounds", load_options.rounds, "The same again on the same front")
      ->check(CLI::Range(1, 20));
  measure->add_flag("--ramp", ramp, "Double the pace until the front's added p99 passes --limit");
  measure->add_option("--limit", limit, "Seconds")->capture_default_str();
  measure->add_flag("--baseline", baseline, "The first holder in place of the module");
  measure->add_option("--out", folder, "Folder for records and logs")->capture_default_str();
  measure->add_option("--program", program, "The front's program (default: beside this one)");
  auto *front = app.add_subcommand("front", "A front with a baseline in the module's place, for measuring");
  front->add_flag("--first-holder", first_holder, "The first listed holder, always")->required();
  front->add_option("--records", records, "Record files")->required()->expected(1, -1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (*front) return program::run_edge(records, "lab", lab::make_first_holder);
    if (*measure) {
      load_options.folder = std::filesystem::absolute(folder).string();
      return load(load_options, baseline, ramp, limit, program);
    }
    if (*day) {
      records::Source source = records::load_file(file);
      lab::Day read = lab::read_day(source, fronts, servers);
      lab::RunOptions options;
      options.folder = std::filesystem::absolute(folder).string();
      options.program = program.empty() ? program_beside() : program;
      options.seed = seed;
      options.progress = isatty(2) != 0;
      lab::run_day(read, source.text, options);
    }
    return judge_folder(folder, full);
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
