// Reads values of the settings by name (names.h). What is missing or no number takes the fallback.
#pragma once
#include "decision/policy.h"

#include <charconv>
#include <string_view>
#include <vector>

namespace snowshore {

class GivenReader {
 public:
  explicit GivenReader(const Given &given) : given_(given) {}

  std::string_view text(std::string_view name) const {
    auto it = given_.find(name);
    return it == given_.end() ? std::string_view() : it->second;
  }
  double number(std::string_view name, double fallback) const {
    std::string_view value = text(name);
    if (value == "true") return 1;
    std::from_chars(value.data(), value.data() + value.size(), fallback);
    return value == "false" ? 0 : fallback;
  }
  std::vector<double> list(std::string_view name) const { // numbers, joined by commas
    std::vector<double> values;
    std::string_view all = text(name);
    for (std::size_t from = 0; from < all.size();) {
      std::size_t to = std::min(all.find(',', from), all.size());
      double value = 0;
      std::from_chars(all.data() + from, all.data() + to, value);
      values.push_back(value);
      from = to + 1;
    }
    return values;
  }

 private:
  const Given &given_;
};

} // namespace snowshore
