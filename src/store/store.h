// The front's embedded store on RocksDB. It holds the history of the configuration, the configuration that
// the record files held when they were last applied, and the positions of named subscribers. One process at a
// time has it open, and one thread at a time uses it. Every write is synced before the call returns. A write
// that throws StoreError may or may not have happened: the caller must reopen() and read again.
#pragma once
#include "management/transaction.h"

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace rocksdb {
class DB;
}

namespace snowshore::store {

// what() names the failed operation and RocksDB's status.
struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All calls throw StoreError.
class Store final : public management::Journal {
 public:
  // Opens the folder or creates it, and deletes all but the newest max_revisions revisions.
  Store(std::string folder, std::size_t max_revisions);
  ~Store() override;
  Store(const Store &) = delete;

  // Throws also if a revision cannot be decoded or is missing between others.
  std::vector<management::Revision> read_revisions() const override;
  // Replaces the revision of the same number, if there is one, and deletes the one that is no longer kept.
  void append(const management::Revision &revision) override;

  // Returns the text stored under the name, or an empty string if there is none.
  std::string get_text(const std::string &name) const;
  void put_text(const std::string &name, const std::string &text);
  // Returns the last revision that each subscriber, by its name, has received in full.
  std::map<std::string, std::uint64_t> positions() const;
  void put_position(const std::string &subscriber, std::uint64_t revision);

  // Recovers after an error: resumes the database, or closes and opens it again.
  void reopen();
  // Reads a history without locking the store, so also while a front has it open.
  static std::vector<management::Revision> read_history_read_only(const std::string &folder);

 private:
  void open();
  void put(const std::string &key, const std::string &value);
  std::optional<std::string> get(const std::string &key) const;
  std::string folder_;
  std::size_t max_revisions_;
  std::unique_ptr<rocksdb::DB> db_;
};

} // namespace snowshore::store
