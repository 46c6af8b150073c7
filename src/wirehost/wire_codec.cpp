// Parses lines of the form NAME<tab>field=value<tab>... and writes numbers.
#include "wirehost/wire_codec.h"
#include "settings/translation.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace snowshore {

namespace {
WireError invalid_value(std::string_view field, std::string_view text) {
  return WireError("field " + std::string(field) + " has an invalid value '" +
                   std::string(text.substr(0, 40)) + "'");
}
} // namespace

double read_number(std::string_view text, std::string_view field) {
  auto value = settings::parse_number(text);
  if (!value) throw invalid_value(field, text);
  return *value;
}

std::uint64_t read_whole_number(std::string_view text, std::string_view field) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size()) return value;
  // A whole number may be written with a fraction of zero. The limit is a little less than 2 to the 63rd.
  double real = read_number(text, field);
  if (real < 0 || real >= 9.2e18 || real != std::floor(real)) throw invalid_value(field, text);
  return static_cast<std::uint64_t>(real);
}

void WireLine::parse(std::string_view text) {
  fields_.clear();
  std::size_t tab = text.find('\t');
  name_ = text.substr(0, tab);
  while (tab != std::string_view::npos) {
    std::size_t next_tab = text.find('\t', tab + 1);
    std::string_view part =
        text.substr(tab + 1, next_tab == std::string_view::npos ? next_tab : next_tab - tab - 1);
    tab = next_tab;
    if (part.empty()) continue;
    std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0)
      throw WireError("'" + std::string(part) + "' is not a name=value pair");
    fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  }
}

std::optional<std::string_view> WireLine::find(std::string_view field) const {
  for (const auto &[name, value] : fields_) {
    if (name == field) return value;
  }
  return std::nullopt;
}

std::string_view WireLine::text(std::string_view field) const {
  auto value = find(field);
  if (!value) throw WireError(std::string(name_) + " lacks the field " + std::string(field));
  return *value;
}

double WireLine::number(std::string_view field) const { return read_number(text(field), field); }

std::optional<double> WireLine::optional_number(std::string_view field) const {
  auto value = find(field);
  if (!value || value->empty()) return std::nullopt;
  return read_number(*value, field);
}

std::uint64_t WireLine::whole_number(std::string_view field) const {
  return read_whole_number(text(field), field);
}

std::uint64_t WireLine::whole_number_or(std::string_view field, std::uint64_t fallback) const {
  auto value = find(field);
  return value && !value->empty() ? read_whole_number(*value, field) : fallback;
}

int WireLine::integer(std::string_view field) const {
  std::uint64_t value = whole_number(field);
  if (value > static_cast<std::uint64_t>(std::numeric_limits<int>::max()))
    throw invalid_value(field, text(field));
  return static_cast<int>(value);
}

int WireLine::integer_or(std::string_view field, int fallback) const {
  auto value = find(field);
  return value && !value->empty() ? integer(field) : fallback;
}

bool WireLine::flag_or(std::string_view field, bool fallback) const {
  auto value = find(field);
  if (!value || value->empty()) return fallback;
  if (*value == "1" || *value == "true") return true;
  if (*value == "0" || *value == "false") return false;
  throw invalid_value(field, *value);
}

void append(std::string &output, double value) {
  char buffer[64];
  auto [end, error] = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 6);
  output.append(buffer, error == std::errc() ? end : buffer);
}

void append(std::string &output, std::int64_t value) {
  char buffer[24];
  output.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr);
}

} // namespace snowshore
