#include "registry/server_registry.h"

namespace snowshore::registry {

int ServerRegistry::apply(const ListedServer &entry) {
  ++visited_;
  int server = indices_.index_of(entry.id);
  auto place = static_cast<std::size_t>(server);
  if (place >= entries_.size()) entries_.resize(place + 1);
  entries_[place] = {entry, generation_, true};
  return server;
}

std::vector<int> ServerRegistry::finish_whole() {
  std::vector<int> left;
  visited_ += entries_.size();
  for (std::size_t s = 0; s < entries_.size(); ++s) {
    Entry &one = entries_[s];
    if (!one.known || one.named_by == generation_ || one.listed.standing == Standing::left) continue;
    one.listed.standing = Standing::left;
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
    if (one.known && one.listed.standing != Standing::left) out.servers.push_back(one.listed);
  }
  return out;
}

} // namespace snowshore::registry
