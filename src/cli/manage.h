// The operators' commands that speak to a front's management: get, set, watch, diff, history, rollback,
// confirm.
#pragma once

namespace CLI {
class App;
}

namespace snowshore::cli {

// Adds the commands; run_management_command does the one that was given, and returns the exit code, or -1
// where none was.
void add_management_commands(CLI::App &app);
int run_management_command(CLI::App &app);

} // namespace snowshore::cli
