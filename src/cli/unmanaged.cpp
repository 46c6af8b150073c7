// The operators' commands of builds without management: none.
#include "cli/manage.h"

namespace snowshore::cli {

void add_manage(CLI::App &) {}
int run_manage(CLI::App &) { return -1; }

} // namespace snowshore::cli
