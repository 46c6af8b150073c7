// The mechanism of admission: a Chernoff bound on the summed rates of a link's sessions overrunning the link.
// Rates are Gamma-spread; source: the paper and design page that docs/design.md cites. Rates in kB a second.
#pragma once
#include <span>

namespace snowshore {

// One group of equal Gamma-spread rates on a link: so many sessions of this mean rate and variation
// coefficient.
struct RateGroup {
  double plays = 0;
  double rate = 0;
  double variation = 0;
};

// Natural logarithm of the Chernoff bound on the groups' summed rates overrunning the link (0: certain).
double log_overrun_bound(std::span<const RateGroup> groups, double link);

} // namespace snowshore
