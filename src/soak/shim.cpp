// A library that the soak loads into each front end (LD_PRELOAD). It gives the process a source address of
// its own for every connection that it makes, so that stand-ins know by the remote address which front end
// they speak to, and it can cut the process off: while a flag of the shared control file is set, connections
// to servers or to discovery go to an address that never answers.
//
//   SOAK_SOURCE     source address, dotted
//   SOAK_BLACKHOLE  address:port that never completes a handshake
//   SOAK_DISCOVERY  address of discovery; every other destination counts as a server
//   SOAK_CONTROL    path of the control file: byte 0 cuts servers off, byte 1 discovery
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace {

constexpr std::size_t kControlBytes = 4096;

struct Settings {
  in_addr source{}, discovery{};
  sockaddr_in blackhole{};
  const volatile unsigned char *control = nullptr;

  Settings() {
    const char *text = std::getenv("SOAK_SOURCE");
    if (!text || inet_pton(AF_INET, text, &source) != 1) return;
    if (const char *address = std::getenv("SOAK_DISCOVERY")) inet_pton(AF_INET, address, &discovery);
    if (const char *address = std::getenv("SOAK_BLACKHOLE")) {
      std::string whole = address;
      std::size_t colon = whole.rfind(':');
      blackhole.sin_family = AF_INET;
      inet_pton(AF_INET, whole.substr(0, colon).c_str(), &blackhole.sin_addr);
      blackhole.sin_port = htons(static_cast<std::uint16_t>(std::atoi(whole.c_str() + colon + 1)));
    }
    if (const char *path = std::getenv("SOAK_CONTROL")) {
      int file = open(path, O_RDONLY | O_CLOEXEC);
      void *at = file < 0 ? MAP_FAILED : mmap(nullptr, kControlBytes, PROT_READ, MAP_SHARED, file, 0);
      if (file >= 0) close(file);
      if (at != MAP_FAILED) control = static_cast<const unsigned char *>(at);
    }
  }
};

const Settings &settings() {
  static const Settings loaded;
  return loaded;
}

} // namespace

extern "C" int connect(int socket, const sockaddr *to, socklen_t size) {
  using Connect = int (*)(int, const sockaddr *, socklen_t);
  static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const Settings &own = settings();
  if (to->sa_family != AF_INET || own.source.s_addr == 0) return next(socket, to, size);
  sockaddr_in from{};
  from.sin_family = AF_INET;
  from.sin_addr = own.source;
  int later = 1; // the port is chosen at connect, so that one address serves many connections
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &later, sizeof later);
  bind(socket, reinterpret_cast<const sockaddr *>(&from), sizeof from);
  sockaddr_in target{};
  std::memcpy(&target, to, sizeof target);
  bool is_discovery = target.sin_addr.s_addr == own.discovery.s_addr;
  bool cut = own.control && own.control[is_discovery ? 1 : 0] != 0;
  return cut ? next(socket, reinterpret_cast<const sockaddr *>(&own.blackhole), sizeof own.blackhole)
             : next(socket, to, size);
}
