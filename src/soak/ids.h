// How the platform writes ids, for all stand-ins of the soak.
#pragma once
#include <cstdint>
#include <cstdio>
#include <string>

namespace snowshore::soak {

// The id of a session, a title or a client: 16 hex digits.
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// The id of a server in text, such as s-00c41f7a.
inline std::string server_name(std::uint32_t id) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", id);
  return text;
}

} // namespace snowshore::soak
