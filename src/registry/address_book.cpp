// Claims of an address are kept in the order in which they win.
#include "registry/address_book.h"

#include <algorithm>
#include <tuple>

namespace snowshore::registry {

void AddressBook::add(const asio::ip::tcp::endpoint &address, int server, std::uint64_t update,
                      double started_at) {
  if (address.port() == 0) return;
  std::vector<Claim> &claims = claims_[address];
  std::erase_if(claims, [&](const Claim &claim) { return claim.server == server; });
  auto rank = [](const Claim &claim) { return std::tuple(claim.update, claim.started_at); };
  Claim added{server, update, started_at};
  // Behind claims of equal rank: the later record of an update wins.
  claims.insert(std::ranges::upper_bound(claims, rank(added), {}, rank), added);
}

void AddressBook::remove(const asio::ip::tcp::endpoint &address, int server) {
  auto it = claims_.find(address);
  if (it == claims_.end()) return;
  std::erase_if(it->second, [&](const Claim &claim) { return claim.server == server; });
  if (it->second.empty()) claims_.erase(it);
}

int AddressBook::holder(const asio::ip::tcp::endpoint &address) const {
  auto it = claims_.find(address);
  return it == claims_.end() ? -1 : it->second.back().server;
}

std::vector<int> AddressBook::servers_at(const asio::ip::tcp::endpoint &address) const {
  std::vector<int> servers;
  if (auto it = claims_.find(address); it != claims_.end())
    std::ranges::transform(it->second, std::back_inserter(servers), &Claim::server);
  return servers;
}

} // namespace snowshore::registry
