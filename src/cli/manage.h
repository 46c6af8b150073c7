// The operators' commands for a front's management: get, set, watch, diff, history, rollback, confirm.
#pragma once

namespace CLI {
class App;
}

namespace snowshore::cli {

// Adds the commands to the program. A build without management adds none.
void add_management_commands(CLI::App &app);
// Runs the command that the parsed command line has, and returns its exit code, or -1 if it has none of them.
int run_management_command(CLI::App &app);

} // namespace snowshore::cli
