// A baseline in the module's place: the first listed holder, always the same rung, no test, no memory. It
// keeps no rule and is only the floor of what a front costs.
#pragma once
#include "decision/policy.h"

namespace snowshore::lab {

std::unique_ptr<DecisionEngine> make_first_holder(const DecisionSettings &given, std::uint64_t seed,
                                                  double now, DecisionHandler &answers);

} // namespace snowshore::lab
