// The front's embedded store on RocksDB: the history of its configuration, what it was started from, and
// where named subscribers stand. One process at a time has it open. Every write is synced before the call
// returns; one that throws StoreError may or may not be there afterwards: reopen() and read again. Used from
// one thread at a time.
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

struct StoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Store final : public management::Journal {
 public:
  // Opens or makes the folder; keeps the newest so many revisions. Throws StoreError.
  Store(std::string folder, std::size_t max_revisions);
  ~Store() override;
  Store(const Store &) = delete;

  std::vector<management::Revision>
  read_revisions() const override; // throws also for a history that is not whole
  void append(const management::Revision &revision) override;

  std::string get_text(const std::string &name) const; // empty: never put
  void put_text(const std::string &name, const std::string &text);
  // Where a subscriber, by its name, has got to.
  std::map<std::string, std::uint64_t> positions() const;
  void put_position(const std::string &subscriber, std::uint64_t revision);

  void reopen(); // after an error; throws where it still cannot
  // For reading a history without owning it, while a front has the store open.
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
