#include "decision/overrun_bound.h"

#include <algorithm>
#include <cmath>

namespace snowshore {

double log_overrun_bound(std::span<const RateGroup> groups, double link) {
  double mean = 0, ceiling = INFINITY; // ceiling: the smallest alpha
  for (const RateGroup &g : groups) {
    if (g.plays <= 0) continue;
    mean += g.plays * g.rate;
    ceiling = std::min(ceiling, 1 / (g.variation * g.variation * g.rate));
  }
  if (mean <= 0) return link > 0 ? -INFINITY : 0;
  if (mean >= link) return 0;
  double low = 0, high = 1; // theta over ceiling; the exponent is convex, so its slope changes sign once
  for (int i = 0; i < 40; ++i) {
    double theta = (low + high) / 2 * ceiling, slope = -link;
    for (const RateGroup &g : groups) {
      if (g.plays <= 0) continue;
      double spread = g.variation * g.variation;
      slope += g.plays / spread / (1 / (spread * g.rate) - theta);
    }
    (slope < 0 ? low : high) = (low + high) / 2;
  }
  double theta = low * ceiling, exponent = -theta * link;
  for (const RateGroup &g : groups) {
    if (g.plays <= 0) continue;
    double spread = g.variation * g.variation;
    exponent -= g.plays / spread * std::log1p(-theta * spread * g.rate);
  }
  return std::min(exponent, 0.0);
}

} // namespace snowshore
