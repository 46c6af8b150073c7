#include "wirehost/wire_codec.h"
#include "given/translate.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace snowshore {

namespace {
WireError bad(std::string_view what, std::string_view text) {
  return WireError("field " + std::string(what) + " has an unusable value '" +
                   std::string(text.substr(0, 40)) + "'");
}
} // namespace

double read_number(std::string_view text, std::string_view what) {
  auto value = given::parse_number(text);
  if (!value) throw bad(what, text);
  return *value;
}

std::uint64_t read_whole(std::string_view text, std::string_view what) {
  std::uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size()) return value;
  double wide = read_number(text, what); // a whole number may be written with a fraction of zero
  if (wide < 0 || wide >= 9.2e18 || wide != std::floor(wide)) throw bad(what, text);
  return static_cast<std::uint64_t>(wide);
}

void WireLine::parse(std::string_view text) {
  fields_.clear();
  std::size_t at = text.find('\t');
  name_ = text.substr(0, at);
  while (at != std::string_view::npos) {
    std::size_t next = text.find('\t', at + 1);
    std::string_view part = text.substr(at + 1, next == std::string_view::npos ? next : next - at - 1);
    at = next;
    if (part.empty()) continue;
    std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0)
      throw WireError("'" + std::string(part) + "' is no name=value pair");
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

std::optional<double> WireLine::number_if(std::string_view field) const {
  auto value = find(field);
  if (!value || value->empty()) return std::nullopt;
  return read_number(*value, field);
}

std::uint64_t WireLine::whole(std::string_view field) const { return read_whole(text(field), field); }

std::uint64_t WireLine::whole_or(std::string_view field, std::uint64_t fallback) const {
  auto value = find(field);
  return value && !value->empty() ? read_whole(*value, field) : fallback;
}

int WireLine::small(std::string_view field) const {
  std::uint64_t value = whole(field);
  if (value > static_cast<std::uint64_t>(std::numeric_limits<int>::max())) throw bad(field, text(field));
  return static_cast<int>(value);
}

int WireLine::small_or(std::string_view field, int fallback) const {
  auto value = find(field);
  return value && !value->empty() ? small(field) : fallback;
}

bool WireLine::flag_or(std::string_view field, bool fallback) const {
  auto value = find(field);
  if (!value || value->empty()) return fallback;
  if (*value == "1" || *value == "true") return true;
  if (*value == "0" || *value == "false") return false;
  throw bad(field, *value);
}

void append(std::string &out, double value) {
  char buffer[64];
  auto [end, error] = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 6);
  out.append(buffer, error == std::errc() ? end : buffer);
}

void append(std::string &out, std::int64_t value) {
  char buffer[24];
  out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr);
}

} // namespace snowshore
