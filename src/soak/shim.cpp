// A library that the soak preloads into each front end (LD_PRELOAD). It binds every outgoing connection of
// the process to a source address of its own, so that stand-ins know by the remote address which front end
// they are connected to. It can also cut the process off: while a flag in the shared control file is set,
// connections to servers or to discovery go to an address that never answers. If SOAK_SOURCE is missing,
// connect() is unchanged.
//
//   SOAK_SOURCE     source address in dotted notation
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
      std::string host_port = address;
      std::size_t colon = host_port.rfind(':');
      blackhole.sin_family = AF_INET;
      inet_pton(AF_INET, host_port.substr(0, colon).c_str(), &blackhole.sin_addr);
      blackhole.sin_port = htons(static_cast<std::uint16_t>(std::atoi(host_port.c_str() + colon + 1)));
    }
    if (const char *path = std::getenv("SOAK_CONTROL")) {
      int descriptor = open(path, O_RDONLY | O_CLOEXEC);
      void *mapping =
          descriptor < 0 ? MAP_FAILED : mmap(nullptr, kControlBytes, PROT_READ, MAP_SHARED, descriptor, 0);
      if (descriptor >= 0) close(descriptor);
      if (mapping != MAP_FAILED) control = static_cast<const unsigned char *>(mapping);
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
  static const auto real_connect = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const Settings &config = settings();
  if (to->sa_family != AF_INET || config.source.s_addr == 0) return real_connect(socket, to, size);
  sockaddr_in from{};
  from.sin_family = AF_INET;
  from.sin_addr = config.source;
  // The system chooses the port at connect rather than at bind, so that one address serves many connections.
  int enable = 1;
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enable, sizeof enable);
  bind(socket, reinterpret_cast<const sockaddr *>(&from), sizeof from);
  sockaddr_in target{};
  std::memcpy(&target, to, sizeof target);
  bool is_discovery = target.sin_addr.s_addr == config.discovery.s_addr;
  bool is_cut = config.control && config.control[is_discovery ? 1 : 0] != 0;
  return is_cut ? real_connect(socket, reinterpret_cast<const sockaddr *>(&config.blackhole),
                               sizeof config.blackhole)
                : real_connect(socket, to, size);
}
