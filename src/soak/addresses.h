// The loopback addresses of a run. Each party has an address of its own, so that a stand-in knows by the
// remote address alone which front end it is connected to.
#pragma once
#include <cstdint>

namespace snowshore::soak {

// 127.1.0.1 and up, one per server.
inline constexpr std::uint32_t kFirstServerAddress = 0x7f010001;
// 127.50.0.1 and up, one per front end: where it listens.
inline constexpr std::uint32_t kFirstFrontAddress = 0x7f320001;
// 127.100.0.1 and up, one per front end: where it connects from.
inline constexpr std::uint32_t kFirstSourceAddress = 0x7f640001;
inline constexpr std::uint32_t kDiscoveryAddress = 0x7fc80001;   // 127.200.0.1
inline constexpr std::uint32_t kUnreachableAddress = 0x7ffa0001; // 127.250.0.1

inline std::uint32_t source_address_of(int front) {
  return kFirstSourceAddress + static_cast<std::uint32_t>(front);
}
// Returns the front end's index; out of range if the address is no front end's source address.
inline int front_of_source(std::uint32_t address) { return static_cast<int>(address - kFirstSourceAddress); }

} // namespace snowshore::soak
