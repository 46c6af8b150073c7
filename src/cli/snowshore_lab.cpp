// The program snowshore-lab: runs and judges days against simulated servers and players, measures load,
// exercises management, and runs the soak test.
#include "cli/soak.h"
#include "lab/baseline_engine.h"
#include "lab/judge.h"
#include "lab/load_test.h"
#include "lab/management_load.h"
#include "lab/run_day.h"
#include "program/run.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <iostream>

namespace {

using namespace snowshore;

// Returns the path of the front end's executable, which is in the same folder as this one.
std::string default_program() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "snowshore").string();
}

// Measures a front end and prints one row per round. With `ramp` the rate doubles until the front end's added
// p99 exceeds `limit` seconds, plays fail, or the front end uses more than 95 % of a processor.
int run_load(lab::LoadOptions options, bool baseline, bool ramp, double limit, const std::string &program) {
  if (baseline)
    options.command = {std::filesystem::read_symlink("/proc/self/exe").string(), "front", "--first-holder",
                       "--records"};
  else
    options.command = {program.empty() ? default_program() : program, "edge", "--records"};
  std::printf("%-12s %7s %8s %8s %8s %9s %9s %9s %9s %9s %7s %8s %8s %8s %8s\n", "front", "servers", "rate/s",
              "asked", "plays", "added p50", "p99 ms", "seen p50", "p99 ms", "cpu us", "module", "held",
              "empty MB", "full MB", "after MB");
  for (double rate = options.rate;; rate *= 2) {
    options.rate = rate;
    lab::LoadFigures f;
    for (const lab::LoadFigures &one : lab::measure_load(options)) {
      f = one;
      std::printf(
          "%-12s %7d %8.0f %8llu %8llu %9.3f %9.3f %9.3f %9.3f %9.1f %6.0f%% %8.0f %8.1f %8.1f %8.1f\n",
          baseline ? "first holder" : "module", options.servers, rate,
          static_cast<unsigned long long>(f.asked), static_cast<unsigned long long>(f.plays),
          f.added_p50 * 1e3, f.added_p99 * 1e3, f.answer_p50 * 1e3, f.answer_p99 * 1e3, f.cpu_per_play * 1e6,
          f.module_share * 100, f.held, f.memory_before / 1e6, f.memory_loaded / 1e6, f.memory_after / 1e6);
      if (f.sets > 0)
        std::printf("  with %llu changes meanwhile: Set p50 %.1f ms, p99 %.1f ms\n",
                    static_cast<unsigned long long>(f.sets), f.set_p50 * 1e3, f.set_p99 * 1e3);
    }
    std::fflush(stdout);
    bool overloaded = f.added_p99 > limit || f.plays < f.asked * 95 / 100 || f.cpu_per_play * rate > 0.95;
    if (!ramp || overloaded || rate > 2e5) return 0;
  }
}

// Runs and judges a day during which a management client changes the front ends. The day ends when all
// changes are made or, with `whole_day`, as its record says. Returns the exit code.
int run_managed_day(lab::PushOptions push, const lab::Day &day, const std::string &text,
                    lab::RunOptions options, bool whole_day) {
  lab::PushFigures figures;
  options.run_until_task_done = !whole_day;
  options.background_task = [&](lab::FleetControl &fleet) { figures = lab::push_changes(fleet, push); };
  lab::run_day(day, text, options);
  lab::Verdict verdict = lab::judge(day, lab::read_traces(options.folder));
  std::cout << lab::format_report(verdict) << lab::format_report(figures);
  int changes_made = figures.accepted + figures.refused + figures.unanswered;
  bool complete = whole_day ? changes_made > 0 : changes_made == push.changes && figures.kills == push.kills;
  if (!complete) std::cout << "only " << changes_made << " changes were made\n";
  return verdict.clean() && figures.mismatches == 0 && complete ? 0 : 1;
}

// Returns the record of the day for the management commands.
std::string push_day(int fronts, double plays_per_second) {
  return "name: \"push\"\nfronts: " + std::to_string(fronts) +
         "\nservers: 10\nplays_a_second: " + std::to_string(plays_per_second) +
         "\nsite: log_level: \"warning\"\n";
}

// Judges the day in a folder and prints the report. Returns the exit code.
int judge_folder(const std::string &folder, bool full) {
  lab::Json scale = lab::Json::parse(std::ifstream(folder + "/scale.json"), nullptr, false);
  if (!scale.is_object())
    throw std::runtime_error(folder + " does not hold the files of a day (scale.json is missing or invalid)");
  lab::Day day = lab::read_day(records::load_file(folder + "/day.cue"), scale["fronts"], scale["servers"]);
  lab::Verdict verdict = lab::judge(day, lab::read_traces(folder));
  std::cout << day.name << ", seed " << scale["seed"] << ", " << day.fronts << " fronts, " << day.servers
            << " servers\n"
            << lab::format_report(verdict, full);
  return verdict.clean() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app(
      "snowshore-lab: runs days against simulated servers and players, and judges them by their traffic");
  app.require_subcommand(1);
  app.footer("Examples:\n  snowshore-lab day days/bad-day.cue --seed 7 --out /tmp/day\n  snowshore-lab judge "
             "/tmp/day --full\n"
             "Exit codes: 0 all rules kept, 1 a rule broken, 2 invalid arguments or input.");
  std::string file, folder = "lab-out", program;
  std::uint64_t seed = 1;
  int fronts = 0, servers = 0;
  bool full = false;
  auto *day = app.add_subcommand("day", "Run a day and judge it");
  day->add_option("file", file, "The day's record")->required();
  day->add_option("--seed", seed, "Seed of all random numbers of the simulation")->capture_default_str();
  day->add_option("--out", folder, "Folder for traces, records and logs; an earlier day in it is deleted")
      ->capture_default_str();
  day->add_option("--fronts", fronts, "Number of front ends, in place of the record's")
      ->check(CLI::Range(1, 64));
  day->add_option("--servers", servers,
                  "Number of servers, in place of the record's; plays, titles and racks scale with it")
      ->check(CLI::Range(1, 400));
  day->add_option("--program", program,
                  "Executable of the front end (default: the one in this program's folder)");
  auto *judge = app.add_subcommand("judge", "Judge an earlier day from its folder");
  judge->add_option("folder", folder, "The folder that 'day' wrote")->required();
  bool managed = false;
  day->add_flag("--managed", managed, "Change all front ends by a management client during the day");
  lab::PushOptions push_options;
  double plays_per_second = 40;
  int max_revisions = 4000, value = 5000;
  std::vector<std::string> addresses;
  auto *manage = app.add_subcommand("manage", "A management client for many front ends");
  manage->require_subcommand(1);
  auto *push = manage->add_subcommand(
      "push", "Send valid and invalid changes to front ends that run plays and are killed at times");
  push->add_option("--fronts", fronts, "Number of front ends")->check(CLI::Range(1, 64));
  push->add_option("--changes", push_options.changes, "Total number of changes")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  push->add_option("--kills", push_options.kills, "Total number of kills")
      ->check(CLI::Range(0, 10000))
      ->capture_default_str();
  push->add_option("--plays", plays_per_second, "Plays per second over all front ends")
      ->capture_default_str();
  push->add_option("--pause", push_options.pause, "Seconds between two changes of a front end");
  push->add_option("--seed", seed, "Seed of all random numbers")->capture_default_str();
  push->add_option("--out", folder, "Folder for traces, records and logs; an earlier day in it is deleted")
      ->capture_default_str();
  push->add_option("--program", program,
                   "Executable of the front end (default: the one in this program's folder)");
  push->footer("Example:\n  snowshore-lab manage push --fronts 4 --changes 1000 --seed 7 --kills 50");
  auto *rollout =
      manage->add_subcommand("rollout", "Make one change at many running front ends concurrently");
  rollout->add_option("addresses", addresses, "Management addresses of the front ends")->required();
  rollout->add_option("--value", value, "Value for /front/limits/open_plays")->capture_default_str();
  auto *recovery =
      manage->add_subcommand("recovery", "Measure the recovery time for histories of increasing length");
  recovery->add_option("--most", max_revisions, "Largest number of revisions; it doubles up to this")
      ->capture_default_str();
  recovery->add_option("--out", folder, "An empty folder")->capture_default_str();
  for (auto *one : {day, judge})
    one->add_flag("--full", full, "Print all evidence and not only the first of each rule");
  lab::LoadOptions load_options;
  bool baseline = false, ramp = false, first_holder = false;
  double limit = 0.01;
  std::vector<std::string> records;
  auto *measure =
      app.add_subcommand("load", "Measure one front end at a rate of plays, or at doubling rates");
  measure->add_option("--servers", load_options.servers, "Number of minimal servers that answer at once")
      ->capture_default_str();
  measure->add_option("--rate", load_options.rate, "Plays per second, at first")->capture_default_str();
  measure->add_option("--seconds", load_options.seconds, "Duration of the load at each rate")
      ->capture_default_str();
  measure->add_option("--hold", load_options.hold, "Seconds for which a play is held")->capture_default_str();
  measure->add_flag("--keep", load_options.keep,
                    "Hold all plays until the last one is set up, then end them");
  measure->add_option("--rounds", load_options.rounds, "Number of repetitions on the same front end")
      ->check(CLI::Range(1, 20));
  measure->add_option("--sets", load_options.set_rate,
                      "Set calls per second by a management client in every second round");
  measure->add_flag("--ramp", ramp, "Double the rate until the front end's added p99 exceeds --limit");
  measure->add_option("--limit", limit, "Limit of the added p99 in seconds")->capture_default_str();
  measure->add_flag("--baseline", baseline,
                    "Measure the first-holder baseline in place of the decision module");
  measure->add_option("--out", folder, "Folder for records and logs")->capture_default_str();
  measure->add_option("--program", program,
                      "Executable of the front end (default: the one in this program's folder)");
  auto *front = app.add_subcommand(
      "front", "Run a front end with a baseline in place of the decision module, for measurements");
  front->add_flag("--first-holder", first_holder, "Always take the first listed server that holds the title")
      ->required();
  front->add_option("--records", records, "Record files")->required()->expected(1, -1);
  cli::SoakCommand soak(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (soak.is_asked_for()) return soak.run(default_program());
    if (*front) return program::run_edge(records, "lab", lab::make_first_holder);
    if (*measure) {
      load_options.folder = std::filesystem::absolute(folder).string();
      return run_load(load_options, baseline, ramp, limit, program);
    }
    lab::RunOptions options;
    options.folder = std::filesystem::absolute(folder).string();
    options.program = program.empty() ? default_program() : program;
    options.seed = seed;
    options.show_progress = isatty(2) != 0;
    push_options.seed = seed;
    if (*push) {
      records::Source source{"(push)", push_day(fronts > 0 ? fronts : 4, plays_per_second)};
      return run_managed_day(push_options, lab::read_day(source), source.text, options, false);
    }
    if (*rollout) {
      lab::RolloutFigures f = lab::roll_out(addresses, 16, value);
      std::printf("%d of %zu fronts have it after %.2f s; one Set p50 %.1f ms, p99 %.1f ms\n", f.accepted,
                  addresses.size(), f.seconds, f.p50 * 1e3, f.p99 * 1e3);
      return f.accepted == static_cast<int>(addresses.size()) ? 0 : 1;
    }
    if (*recovery) {
      records::Source source{"(push)", push_day(1, 1)};
      std::string text = lab::render_front_record(lab::read_day(source), 0, options.folder);
      for (int revisions = 250; revisions <= max_revisions; revisions *= 2)
        std::printf(
            "%6d revisions: %.1f ms\n", revisions,
            1e3 * lab::measure_recovery(options.folder + "/" + std::to_string(revisions), revisions, text));
      return 0;
    }
    if (*day) {
      records::Source source = records::load_file(file);
      lab::Day parsed_day = lab::read_day(source, fronts, servers);
      if (managed) {
        push_options.changes = 1000000;
        push_options.kills = 0;
        push_options.pause = 0.02;
        return run_managed_day(push_options, parsed_day, source.text, options, true);
      }
      lab::run_day(parsed_day, source.text, options);
    }
    return judge_folder(folder, full);
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
