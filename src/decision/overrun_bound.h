// Admission control: a Chernoff bound on the probability that the summed rates of a link's sessions exceed
// the link's capacity. Rates are Gamma-distributed and given in kB per second. Source: the paper and the
// design page that docs/design.md cites.
#pragma once
#include <span>

namespace snowshore {

// A group of sessions on one link whose rates have the same Gamma distribution: their number, mean rate and
// coefficient of variation.
struct RateGroup {
  double plays = 0;
  double rate = 0;
  double variation = 0;
};

// Returns the natural logarithm of the Chernoff bound on the probability that the groups' summed rates exceed
// `link`; 0 where the bound excludes nothing.
double log_overrun_bound(std::span<const RateGroup> groups, double link);

} // namespace snowshore
