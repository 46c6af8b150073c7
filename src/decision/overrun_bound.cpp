// The minimum of the Chernoff exponent over its parameter theta, found by bisection of its slope.
#include "decision/overrun_bound.h"

#include <algorithm>
#include <cmath>

namespace snowshore {

// Bisections of the interval from 0 to 1.
constexpr int kBisections = 40;

double log_overrun_bound(std::span<const RateGroup> groups, double link) {
  // The moment generating function of a group exists for theta below its Gamma rate parameter; max_theta is
  // the smallest of these parameters.
  double mean = 0, max_theta = INFINITY;
  for (const RateGroup &group : groups) {
    if (group.plays <= 0) continue;
    mean += group.plays * group.rate;
    max_theta = std::min(max_theta, 1 / (group.variation * group.variation * group.rate));
  }
  if (mean <= 0) return link > 0 ? -INFINITY : 0;
  if (mean >= link) return 0;
  // Bounds of theta over max_theta. The exponent is convex, so its slope changes sign once.
  double low = 0, high = 1;
  for (int i = 0; i < kBisections; ++i) {
    double theta = (low + high) / 2 * max_theta, slope = -link;
    for (const RateGroup &group : groups) {
      if (group.plays <= 0) continue;
      double squared_variation = group.variation * group.variation;
      slope += group.plays / squared_variation / (1 / (squared_variation * group.rate) - theta);
    }
    (slope < 0 ? low : high) = (low + high) / 2;
  }
  double theta = low * max_theta, exponent = -theta * link;
  for (const RateGroup &group : groups) {
    if (group.plays <= 0) continue;
    double squared_variation = group.variation * group.variation;
    exponent -= group.plays / squared_variation * std::log1p(-theta * squared_variation * group.rate);
  }
  return std::min(exponent, 0.0);
}

} // namespace snowshore
