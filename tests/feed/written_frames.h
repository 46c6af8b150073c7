// The command channel's frames as a channel writes them, for what reads them in tests.
#pragma once
#include <cstdint>
#include <string>

namespace snowshore::testing {

inline std::string big(std::uint64_t value, int size) { // big-endian
  std::string out;
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> 8 * i & 255);
  return out;
}

struct WrittenServer {
  std::uint32_t id = 0;
  unsigned port = 2905, state = 0, hall = 0, kind = 0, cell = 0;
  std::uint64_t started = 0;
};

inline std::string record(const WrittenServer &one) {
  return big(one.id, 4) + big(0x7f000001, 4) + big(one.port, 2) + big(one.state, 1) + big(one.hall, 1) +
         big(one.kind, 1) + big(one.cell, 2) + big(1500, 4) + big(one.started, 8);
}

inline std::string frame(std::uint64_t number, unsigned kind, const std::string &payload = "") {
  return big(9 + payload.size(), 4) + big(number, 8) + big(kind, 1) + payload;
}

} // namespace snowshore::testing
