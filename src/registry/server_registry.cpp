#include "registry/server_registry.h"

namespace snowshore::registry {

int ServerRegistry::apply(const ListedServer &entry) {
  ++entries_scanned_;
  int server = indices_.index_of(entry.id);
  auto place = static_cast<std::size_t>(server);
  if (place >= entries_.size()) entries_.resize(place + 1);
  entries_[place] = {entry, generation_, true};
  return server;
}

std::vector<int> ServerRegistry::finish_full_list() {
  std::vector<int> left;
  entries_scanned_ += entries_.size();
  for (std::size_t s = 0; s < entries_.size(); ++s) {
    Entry &one = entries_[s];
    if (!one.known || one.last_generation == generation_ || one.listed.status == ServerStatus::left) continue;
    one.listed.status = ServerStatus::left;
    left.push_back(static_cast<int>(s));
  }
  return left;
}

void ServerRegistry::forget(int server) {
  entries_[static_cast<std::size_t>(server)] = {};
  indices_.release(server);
}

ServerList ServerRegistry::list() const {
  ServerList out;
  for (const Entry &one : entries_) {
    if (one.known && one.listed.status != ServerStatus::left) out.servers.push_back(one.listed);
  }
  return out;
}

} // namespace snowshore::registry
