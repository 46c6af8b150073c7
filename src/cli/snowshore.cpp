// snowshore: the front end, the check of its records, and the management commands.
#include "cli/manage.h"
#include "platform/run.h"
#include "program/run.h"

#include <CLI/CLI.hpp>

#include <iostream>

#ifndef SNOWSHORE_VERSION
#define SNOWSHORE_VERSION "unknown"
#endif

int main(int argc, char **argv) {
  using namespace snowshore;
  CLI::App app("snowshore: places video plays on streaming servers and shapes them");
  app.require_subcommand(1);
  app.footer("Examples:\n  snowshore check front.cue site.cue --show\n  snowshore edge --records front.cue "
             "site.cue\n"
             "snowshore get /state/service --target 127.0.0.1:9339\nExit codes: 0 done, 1 refused by a "
             "front, 2 invalid usage or "
             "input.");
  std::vector<std::string> files;
  bool show = false;

  auto *edge = app.add_subcommand("edge", "Serve players: the front end");
  bool on_platform = false;
  std::string log_level = "info";
  auto *records = edge->add_option("--records", files, "Record files; several are unified")->expected(1, -1);
  auto *platform =
      edge->add_flag("--platform", on_platform, "Serve the platform's viewers; configured by NODE_CONFIG");
  edge->add_option("--log", log_level, "With --platform: debug, info, warning or error")->needs(platform);
  records->excludes(platform);
  edge->footer("SIGHUP reads the records again, SIGTERM answers accepted plays and exits 0.\n"
               "Examples:\n  snowshore edge --records front.cue site.cue\n  snowshore edge --platform");
  auto *check = app.add_subcommand("check", "Check a front's records and print every error");
  check->add_option("files", files, "Record files; several are unified")->required()->expected(1, -1);
  check->add_flag("--show", show, "Print the unified record with all defaults");
  check->footer("Example:\n  snowshore check front.cue site.cue --show");
  auto *version = app.add_subcommand("version", "Print the version");

  cli::add_management_commands(app);

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (*version) {
    std::cout << "snowshore " << SNOWSHORE_VERSION << "\n";
    return 0;
  }
  if (*edge && on_platform) return platform::run_platform(log_level);
  if (*edge && files.empty()) {
    std::cerr << "snowshore: edge needs --records or --platform\n";
    return 2;
  }
  if (*edge) return program::run_edge(files, SNOWSHORE_VERSION);
  if (int code = cli::run_management_command(app); code >= 0) return code;
  try {
    config::FrontConfig record = config::load_front_config(files);
    if (show)
      std::cout << record.settled_text << "\n";
    else
      std::cout << "the records of front " << record.name << " are valid\n";
    return 0;
  } catch (const records::RecordError &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
