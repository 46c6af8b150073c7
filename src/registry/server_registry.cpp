// Updates of the registry; the costs are those that the header states.
#include "registry/server_registry.h"

#include <algorithm>
#include <utility>

namespace snowshore::registry {

int ServerRegistry::apply(const ListedServer &entry) {
  ++entries_scanned_;
  int server = indices_.index_of(entry.id);
  auto slot = static_cast<std::size_t>(server);
  if (slot >= entries_.size()) entries_.resize(slot + 1);
  Entry before = std::exchange(entries_[slot], {entry, entry.status, generation_, true});
  address_changes_.clear();
  bool had_address = before.known && before.listed_status != ServerStatus::left;
  bool keeps_address =
      had_address && entry.status != ServerStatus::left && before.listed.address == entry.address;
  if (had_address && !keeps_address) {
    addresses_.remove(before.listed.address, server);
    update_holder(before.listed.address, server);
  }
  if (entry.status == ServerStatus::left) return server;
  // A repeated entry is no news of the address.
  if (!keeps_address || entry.started_at > before.listed.started_at)
    addresses_.add(entry.address, server, update_, entry.started_at);
  update_holder(entry.address, server);
  return server;
}

void ServerRegistry::update_holder(const asio::ip::tcp::endpoint &address, int cause) {
  int holder = addresses_.holder(address);
  for (int server : addresses_.servers_at(address)) {
    Entry &entry = entries_[static_cast<std::size_t>(server)];
    ServerStatus status = server == holder ? entry.listed_status : ServerStatus::left;
    if (std::exchange(entry.listed.status, status) == status) continue;
    if (server != cause) address_changes_.push_back(server);
  }
}

std::vector<int> ServerRegistry::finish_full_list() {
  std::vector<int> left;
  address_changes_.clear();
  entries_scanned_ += entries_.size();
  for (std::size_t s = 0; s < entries_.size(); ++s) {
    Entry &entry = entries_[s];
    if (!entry.known || entry.last_generation == generation_ || entry.listed_status == ServerStatus::left)
      continue;
    int server = static_cast<int>(s);
    entry.listed_status = ServerStatus::left;
    addresses_.remove(entry.listed.address, server);
    if (std::exchange(entry.listed.status, ServerStatus::left) != ServerStatus::left) left.push_back(server);
    update_holder(entry.listed.address, server);
  }
  return left;
}

void ServerRegistry::forget(int server) {
  Entry &entry = entries_[static_cast<std::size_t>(server)];
  addresses_.remove(entry.listed.address, server);
  entry = {};
  indices_.release(server);
}

ServerList ServerRegistry::list() const {
  ServerList out;
  for (const Entry &entry : entries_) {
    if (entry.known && entry.listed.status != ServerStatus::left) out.servers.push_back(entry.listed);
  }
  return out;
}

} // namespace snowshore::registry
