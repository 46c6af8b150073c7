// Declares a baseline for load measurements that replaces the decision module. It always takes the first
// listed server that holds the title, and the lowest rung; it neither checks nor remembers anything. It keeps
// none of the rules, and its cost is the lower bound of what a front end costs.
#pragma once
#include "decision/policy.h"

namespace snowshore::lab {

// Has the signature of the module's factory; `seed` and `now` are not used.
std::unique_ptr<DecisionEngine> make_first_holder(const DecisionSettings &settings, std::uint64_t seed,
                                                  double now, DecisionHandler &handler);

} // namespace snowshore::lab
