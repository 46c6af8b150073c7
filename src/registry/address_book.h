// Which server holds each address. Discovery may list a server at an address before it tells that the server
// that had it has gone; the one that came last holds the address then. No I/O, no clock.
#pragma once
#include <asio.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace snowshore::registry {

class AddressBook {
 public:
  // Nobody holds an address without a port. The server is listed at the address, which it did not have
  // before, or as a new process there. Servers that come with one update of the list share its number; of
  // those, the one that started last holds the address.
  void add(const asio::ip::tcp::endpoint &address, int server, std::uint64_t update, double started_at);
  // The server is no longer listed at the address.
  void remove(const asio::ip::tcp::endpoint &address, int server);
  // The server that holds the address, or a negative value.
  int holder(const asio::ip::tcp::endpoint &address) const;
  // The servers listed at the address, each once.
  std::vector<int> servers_at(const asio::ip::tcp::endpoint &address) const;

 private:
  struct Claim {
    int server = -1;
    std::uint64_t update = 0;
    double started_at = 0;
  };
  // Nearly always one claim each; the last one holds the address.
  std::map<asio::ip::tcp::endpoint, std::vector<Claim>> claims_;
};

} // namespace snowshore::registry
