// Replaces manage.cpp in builds without management: there are no management commands.
#include "cli/manage.h"

namespace snowshore::cli {

void add_management_commands(CLI::App &) {}
int run_management_command(CLI::App &) { return -1; }

} // namespace snowshore::cli
