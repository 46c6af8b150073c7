// The servers that discovery has listed, with id, address, status and location. Each has a small index, by
// which the rest of the front end refers to it until forget() releases it. The cost of a change is
// proportional to the servers that it names; the cost of a whole list is proportional to the list and the
// servers known before, and a whole list may be applied in parts. A server whose address another listed one
// has taken counts as having left, as long as it has. No I/O, no clock.
#pragma once
#include "decision/id_table.h"
#include "registry/address_book.h"
#include "registry/listed_server.h"

#include <span>
#include <vector>

namespace snowshore::registry {

class ServerRegistry {
 public:
  // The entries that follow come with another update of the list than those before.
  void begin_update() { ++update_; }
  // Adds or updates one server and returns its index.
  int apply(const ListedServer &entry);
  // A whole list is applied by begin_full_list(), apply() for each of its servers, and finish_full_list().
  // Known servers that the list does not name have left: finish_full_list() marks them as such and returns
  // their indices, each once.
  void begin_full_list() { ++generation_; }
  std::vector<int> finish_full_list();

  // The other servers that lost or regained their address by the last call of apply() or finish_full_list().
  const std::vector<int> &address_changes() const { return address_changes_; }

  // The index of a server, or a negative value where it is not known.
  int find(const std::string &id) const { return indices_.find(id); }
  const std::string &id(int server) const { return indices_.id(server); }
  // The server that holds the address, or a negative value.
  int find_at(const asio::ip::tcp::endpoint &address) const { return addresses_.holder(address); }
  // Whether the server is listed and another one has taken its address.
  bool is_displaced(int server) const {
    const Entry &entry = entries_[static_cast<std::size_t>(server)];
    return entry.listed_status != ServerStatus::left && entry.listed.status == ServerStatus::left;
  }
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
    // Its status is that of a server that has left, where another one has taken its address.
    ListedServer listed;
    // The status that discovery gave.
    ServerStatus listed_status = ServerStatus::left;
    // The generation of whole lists that last named the server.
    std::uint64_t last_generation = 0;
    bool known = false;
  };
  // Sets the status of the servers listed at the address, and appends to address_changes_ those other than
  // `cause` for which it changed.
  void update_holder(const asio::ip::tcp::endpoint &address, int cause);
  IdTable<std::string> indices_;
  AddressBook addresses_;
  std::vector<int> address_changes_;
  // By index.
  std::vector<Entry> entries_;
  std::uint64_t generation_ = 0, update_ = 0;
  mutable std::uint64_t entries_scanned_ = 0;
};

} // namespace snowshore::registry
