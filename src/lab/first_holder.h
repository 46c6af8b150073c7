// A baseline in the module's place: the first listed holder, always the same rung, no test, no memory. It
// keeps no rule and is only the floor of what a front costs.
#pragma once
#include "decision/policy.h"

namespace snowshore::lab {

std::unique_ptr<Front> make_first_holder(const Given &given, std::uint64_t seed, double now,
                                         Answers &answers);

} // namespace snowshore::lab
