// Ids in the platform's written form: exactly 16 lower-case hexadecimal digits.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snowshore::settings {

// Returns nothing where the text has another form.
inline std::optional<std::uint64_t> parse_hex16(std::string_view text) {
  if (text.size() != 16) return std::nullopt;
  std::uint64_t value = 0;
  for (char c : text) {
    int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(digit);
  }
  return value;
}

// Formats the id with leading zeros.
inline std::string format_hex16(std::uint64_t value) {
  std::string out(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4) out[i] = "0123456789abcdef"[value & 15];
  return out;
}

} // namespace snowshore::settings
