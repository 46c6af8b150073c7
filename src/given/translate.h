// The platform's and the simulator's names for what the module is given, and for the parts of a load report,
// turned into the module's own. Written once, for the adapter and the platform's doors alike.
#pragma once
#include "decision/policy.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace snowshore::given {

using Field = std::pair<std::string_view, std::string_view>; // a dotted name and its value; lists by commas

Given translate(std::span<const Field> fields);

// Calls f with each part of a list that a mark sets apart.
template <class F> void each_part(std::string_view list, char mark, F f) {
  while (!list.empty()) {
    std::size_t at = list.find(mark);
    f(list.substr(0, at));
    if (at == std::string_view::npos) return;
    list.remove_prefix(at + 1);
  }
}

// The whole text as one finite number, or nothing.
inline std::optional<double> number_of(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// name:value pairs that a mark sets apart; names that the module does not know are passed over. Returns the
// first part that is no such pair (empty: all are).
std::string_view read_load(std::string_view text, char mark, LoadReport &report);

} // namespace snowshore::given
