// The loopback addresses of a run: each party has its own, so that who is spoken to is told by the address
// alone.
#pragma once
#include <cstdint>

namespace snowshore::soak {

inline constexpr std::uint32_t kServerAddresses = 0x7f010001; // 127.1.0.1, one a server
inline constexpr std::uint32_t kFrontAddresses = 0x7f320001;  // 127.50.0.1, one a front end: where it listens
inline constexpr std::uint32_t kSourceAddresses =
    0x7f640001; // 127.100.0.1, one a front end: where it connects from
inline constexpr std::uint32_t kDiscoveryAddress = 0x7fc80001;   // 127.200.0.1
inline constexpr std::uint32_t kUnreachableAddress = 0x7ffa0001; // 127.250.0.1

inline std::uint32_t source_of(int front) { return kSourceAddresses + static_cast<std::uint32_t>(front); }
inline int front_at(std::uint32_t address) { return static_cast<int>(address - kSourceAddresses); }

} // namespace snowshore::soak
