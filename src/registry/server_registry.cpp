// Updates of the registry; the costs are those that the header states.
#include "registry/server_registry.h"

namespace snowshore::registry {

int ServerRegistry::apply(const ListedServer &entry) {
  ++entries_scanned_;
  int server = indices_.index_of(entry.id);
  auto slot = static_cast<std::size_t>(server);
  if (slot >= entries_.size()) entries_.resize(slot + 1);
  entries_[slot] = {entry, generation_, true};
  return server;
}

std::vector<int> ServerRegistry::finish_full_list() {
  std::vector<int> left;
  entries_scanned_ += entries_.size();
  for (std::size_t s = 0; s < entries_.size(); ++s) {
    Entry &entry = entries_[s];
    if (!entry.known || entry.last_generation == generation_ || entry.listed.status == ServerStatus::left)
      continue;
    entry.listed.status = ServerStatus::left;
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
  for (const Entry &entry : entries_) {
    if (entry.known && entry.listed.status != ServerStatus::left) out.servers.push_back(entry.listed);
  }
  return out;
}

} // namespace snowshore::registry
