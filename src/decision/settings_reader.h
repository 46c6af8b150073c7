// Reads values of the decision engine's settings by name; setting_names.h declares the names.
#pragma once
#include "decision/policy.h"

#include <charconv>
#include <string_view>
#include <vector>

namespace snowshore {

// Refers to the settings that it is made with; they must outlive it.
class SettingsReader {
 public:
  explicit SettingsReader(const DecisionSettings &settings) : settings_(settings) {}

  // The value as text; empty where the setting is missing.
  std::string_view text(std::string_view name) const {
    auto it = settings_.find(name);
    return it == settings_.end() ? std::string_view() : it->second;
  }
  // The value as a number; "true" is 1 and "false" is 0. Returns `fallback` where the setting is missing or
  // is not a number.
  double number(std::string_view name, double fallback) const {
    std::string_view value = text(name);
    if (value == "true") return 1;
    std::from_chars(value.data(), value.data() + value.size(), fallback);
    return value == "false" ? 0 : fallback;
  }
  // The value as a list of numbers that are separated by commas; empty where the setting is missing.
  std::vector<double> list(std::string_view name) const {
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
  const DecisionSettings &settings_;
};

} // namespace snowshore
