// snowshore-lab: days against stand-ins, and the judge.
#include "lab/judge.h"
#include "lab/run_day.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <filesystem>
#include <iostream>

namespace {

using namespace snowshore;

// The front's program lies beside this one.
std::string program_beside() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "snowshore").string();
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
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
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
