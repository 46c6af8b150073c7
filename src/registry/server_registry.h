// The servers that discovery has told of: id, address, state, place. Each has a small index, under which the
// rest of the front end knows it until it is forgotten. Changes cost work for the servers that they name; a
// whole list costs work for that list and for the servers known before, and may be applied in parts. No I/O,
// no clock.
#pragma once
#include "decision/id_table.h"
#include "registry/listed_server.h"

#include <span>
#include <vector>

namespace snowshore::registry {

class ServerRegistry {
 public:
  // Takes what is said of one server; its index.
  int apply(const ListedServer &entry);
  // A whole list: begin, apply() for each of its servers, then finish. Servers that were known before and are
  // not named by it have left: finish_whole() marks them and returns their indices, each once.
  void begin_whole() { ++generation_; }
  std::vector<int> finish_whole();

  int find(const std::string &id) const { return indices_.find(id); } // below 0: not known
  const std::string &id(int server) const { return indices_.id(server); }
  const ListedServer &at(int server) const { return entries_[static_cast<std::size_t>(server)].listed; }
  std::size_t size() const { return indices_.size(); }
  void forget(int server);                           // its index may be given again
  ServerList list() const;                           // those that have not left, by index; for operators
  std::uint64_t visited() const { return visited_; } // entries looked at so far

 private:
  struct Entry {
    ListedServer listed;
    std::uint64_t named_by = 0; // the generation of whole lists that last named it
    bool known = false;
  };
  IdTable<std::string> indices_;
  std::vector<Entry> entries_; // by index
  std::uint64_t generation_ = 0;
  mutable std::uint64_t visited_ = 0;
};

} // namespace snowshore::registry
