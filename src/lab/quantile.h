// The value that this part of all lies at or under; 0 where there is none.
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore::lab {

inline double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  auto place = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

} // namespace snowshore::lab
