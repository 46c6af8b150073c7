// Declares quantile().
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore::lab {

// Returns the value at or below which the fraction `share` of the values lies, or 0 if there are no values.
inline double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  auto position =
      values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

} // namespace snowshore::lab
