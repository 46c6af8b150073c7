// snowshore-lab: days against stand-ins, and the judge.
#include "cli/soak.h"
#include "lab/first_holder.h"
#include "lab/judge.h"
#include "lab/load.h"
#include "lab/manage.h"
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
      if (f.sets > 0)
        std::printf("  with %llu changes meanwhile: Set p50 %.1f ms, p99 %.1f ms\n",
                    static_cast<unsigned long long>(f.sets), f.set_p50 * 1e3, f.set_p99 * 1e3);
    }
    std::fflush(stdout);
    bool over = f.added_p99 > limit || f.plays < f.asked * 95 / 100 || f.cpu_per_play * rate > 0.95;
    if (!ramp || over || rate > 2e5) return 0;
  }
}

// A day whose fronts are managed meanwhile: until all changes are made, or as long as the record says.
int manage_push(lab::PushOptions push, const lab::Day &day, const std::string &text, lab::RunOptions options,
                bool whole_day) {
  lab::PushFigures figures;
  options.lasts_until_done = !whole_day;
  options.beside = [&](lab::FleetControl &fleet) { figures = lab::push_changes(fleet, push); };
  lab::run_day(day, text, options);
  lab::Verdict verdict = lab::judge(day, lab::read_traces(options.folder));
  std::cout << lab::report(verdict) << lab::report(figures);
  int made = figures.taken + figures.refused + figures.unanswered;
  bool all = whole_day ? made > 0 : made == push.changes && figures.kills == push.kills;
  if (!all) std::cout << "only " << made << " changes were made\n";
  return verdict.clean() && figures.differ == 0 && all ? 0 : 1;
}

std::string push_day(int fronts, double plays_a_second) {
  return "name: \"push\"\nfronts: " + std::to_string(fronts) +
         "\nservers: 10\nplays_a_second: " + std::to_string(plays_a_second) +
         "\nsite: log_level: \"warning\"\n";
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
  bool managed = false;
  day->add_flag("--managed", managed, "A management client at work on all fronts meanwhile");
  lab::PushOptions push_options;
  double plays_a_second = 40;
  int most = 4000, value = 5000;
  std::vector<std::string> addresses;
  auto *manage = app.add_subcommand("manage", "A management client for many fronts");
  manage->require_subcommand(1);
  auto *push =
      manage->add_subcommand("push", "Changes, valid and not, to fronts under play load that are killed");
  push->add_option("--fronts", fronts, "Under play load")->check(CLI::Range(1, 64));
  push->add_option("--changes", push_options.changes, "In all")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  push->add_option("--kills", push_options.kills, "In all")
      ->check(CLI::Range(0, 10000))
      ->capture_default_str();
  push->add_option("--plays", plays_a_second, "Plays a second, over all fronts")->capture_default_str();
  push->add_option("--pause", push_options.pause, "Seconds between two changes of a front");
  push->add_option("--seed", seed, "Of all chance")->capture_default_str();
  push->add_option("--out", folder, "Folder for traces, records and logs; made anew")->capture_default_str();
  push->add_option("--program", program, "The front's program (default: beside this one)");
  push->footer("Example:\n  snowshore-lab manage push --fronts 4 --changes 1000 --seed 7 --kills 50");
  auto *rollout = manage->add_subcommand("rollout", "One change to fronts that run, all at once");
  rollout->add_option("addresses", addresses, "Their management addresses")->required();
  rollout->add_option("--value", value, "Of /front/limits/open_plays")->capture_default_str();
  auto *recovery = manage->add_subcommand("recovery", "Recovery time against the length of the history");
  recovery->add_option("--most", most, "Revisions, doubling up to this")->capture_default_str();
  recovery->add_option("--out", folder, "An empty folder")->capture_default_str();
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
  measure->add_option("--sets", load_options.sets,
                      "Changes a second by a management client, in every second round");
  measure->add_flag("--ramp", ramp, "Double the pace until the front's added p99 passes --limit");
  measure->add_option("--limit", limit, "Seconds")->capture_default_str();
  measure->add_flag("--baseline", baseline, "The first holder in place of the module");
  measure->add_option("--out", folder, "Folder for records and logs")->capture_default_str();
  measure->add_option("--program", program, "The front's program (default: beside this one)");
  auto *front = app.add_subcommand("front", "A front with a baseline in the module's place, for measuring");
  front->add_flag("--first-holder", first_holder, "The first listed holder, always")->required();
  front->add_option("--records", records, "Record files")->required()->expected(1, -1);
  cli::SoakCommand soak(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (soak.is_asked_for()) return soak.run(program_beside());
    if (*front) return program::run_edge(records, "lab", lab::make_first_holder);
    if (*measure) {
      load_options.folder = std::filesystem::absolute(folder).string();
      return load(load_options, baseline, ramp, limit, program);
    }
    lab::RunOptions options;
    options.folder = std::filesystem::absolute(folder).string();
    options.program = program.empty() ? program_beside() : program;
    options.seed = seed;
    options.progress = isatty(2) != 0;
    push_options.seed = seed;
    if (*push) {
      records::Source source{"(push)", push_day(fronts > 0 ? fronts : 4, plays_a_second)};
      return manage_push(push_options, lab::read_day(source), source.text, options, false);
    }
    if (*rollout) {
      lab::RolloutFigures f = lab::roll_out(addresses, 16, value);
      std::printf("%d of %zu fronts have it after %.2f s; one Set p50 %.1f ms, p99 %.1f ms\n", f.taken,
                  addresses.size(), f.seconds, f.p50 * 1e3, f.p99 * 1e3);
      return f.taken == static_cast<int>(addresses.size()) ? 0 : 1;
    }
    if (*recovery) {
      records::Source source{"(push)", push_day(1, 1)};
      std::string text = lab::front_record(lab::read_day(source), 0, options.folder);
      for (int revisions = 250; revisions <= most; revisions *= 2)
        std::printf(
            "%6d revisions: %.1f ms\n", revisions,
            1e3 * lab::recovery_time(options.folder + "/" + std::to_string(revisions), revisions, text));
      return 0;
    }
    if (*day) {
      records::Source source = records::load_file(file);
      lab::Day read = lab::read_day(source, fronts, servers);
      if (managed) {
        push_options.changes = 1000000, push_options.kills = 0, push_options.pause = 0.02;
        return manage_push(push_options, read, source.text, options, true);
      }
      lab::run_day(read, source.text, options);
    }
    return judge_folder(folder, full);
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
