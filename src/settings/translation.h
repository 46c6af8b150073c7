// Translates the names that the platform and the simulator use for the decision engine's settings, and for
// the fields of a load report, into the engine's own names (decision/setting_names.h). The simulator's
// adapter and the platform's gateways share it.
#pragma once
#include "decision/policy.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace snowshore::settings {

// A dotted name and its value; the items of a list are separated by commas.
using SettingField = std::pair<std::string_view, std::string_view>;

// Returns the engine's settings. A field for which the engine has no other name keeps its own.
DecisionSettings translate_settings(std::span<const SettingField> fields);

// Calls `call` with each part of a list whose parts are separated by `separator`.
template <class Function> void for_each_part(std::string_view list, char separator, Function call) {
  while (!list.empty()) {
    std::size_t end = list.find(separator);
    call(list.substr(0, end));
    if (end == std::string_view::npos) return;
    list.remove_prefix(end + 1);
  }
}

// Returns the whole text as one finite number, or nothing where it is not one.
inline std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Reads name:value pairs that are separated by `separator` into the report, and skips unknown names. Returns
// the first part that is not such a pair; an empty result means that all parts were read.
std::string_view parse_load_report(std::string_view text, char separator, LoadReport &report);

} // namespace snowshore::settings
