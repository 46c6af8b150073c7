// Writes frames of the command channel as the platform sends them, for tests of code that reads them.
#pragma once
#include <cstdint>
#include <string>

namespace snowshore::testing {

inline std::string big_endian(std::uint64_t value, int size) {
  std::string out;
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> 8 * i & 255);
  return out;
}

// The fields of a server's record; the address is 127.0.0.1 and the weight 1.5.
struct ServerRecord {
  std::uint32_t id = 0;
  unsigned port = 2905, state = 0, hall = 0, kind = 0, cell = 0;
  std::uint64_t started_ms = 0;
};

inline std::string record(const ServerRecord &server) {
  return big_endian(server.id, 4) + big_endian(0x7f000001, 4) + big_endian(server.port, 2) +
         big_endian(server.state, 1) + big_endian(server.hall, 1) + big_endian(server.kind, 1) +
         big_endian(server.cell, 2) + big_endian(1500, 4) + big_endian(server.started_ms, 8);
}

inline std::string frame(std::uint64_t number, unsigned kind, const std::string &payload = "") {
  return big_endian(9 + payload.size(), 4) + big_endian(number, 8) + big_endian(kind, 1) + payload;
}

} // namespace snowshore::testing
