// The servers that discovery has listed, with id, address, status and location. Each has a small index, by
// which the rest of the front end refers to it until forget() releases it. The cost of a change is
// proportional to the servers that it names; the cost of a whole list is proportional to the list and the
// servers known before, and a whole list may be applied in parts. No I/O, no clock.
#pragma once
#include "decision/id_table.h"
#include "registry/listed_server.h"

#include <span>
#include <vector>

namespace snowshore::registry {

class ServerRegistry {
 public:
  // Adds or updates one server and returns its index.
  int apply(const ListedServer &entry);
  // A whole list is applied by begin_full_list(), apply() for each of its servers, and finish_full_list().
  // Known servers that the list does not name have left: finish_full_list() marks them as such and returns
  // their indices, each once.
  void begin_full_list() { ++generation_; }
  std::vector<int> finish_full_list();

  // The index of a server, or a negative value where it is not known.
  int find(const std::string &id) const { return indices_.find(id); }
  const std::string &id(int server) const { return indices_.id(server); }
  const ListedServer &at(int server) const { return entries_[static_cast<std::size_t>(server)].listed; }
  std::size_t size() const { return indices_.size(); }
  // Removes the server; its index may be reused.
  void forget(int server);
  // All servers that have not left, by index; for operators.
  ServerList list() const;
  // Number of entries that calls have looked at so far.
  std::uint64_t entries_scanned() const { return entries_scanned_; }

 private:
  struct Entry {
    ListedServer listed;
    // The generation of whole lists that last named the server.
    std::uint64_t last_generation = 0;
    bool known = false;
  };
  IdTable<std::string> indices_;
  // By index.
  std::vector<Entry> entries_;
  std::uint64_t generation_ = 0;
  mutable std::uint64_t entries_scanned_ = 0;
};

} // namespace snowshore::registry
