#include "store/store.h"

#include <nlohmann/json.hpp>
#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>

#include <cstdio>

namespace snowshore::store {

using management::Revision;
using Json = nlohmann::json;

namespace {

// The keys of revisions lie between the two: '0' is the character after '/'.
constexpr char kRevisionPrefix[] = "revision/", kRevisionsEnd[] = "revision0";
constexpr char kSubscriberPrefix[] = "subscriber/";

// The zero-padded number makes the order of the keys that of the numbers.
std::string revision_key(std::uint64_t number) {
  char key[40];
  std::snprintf(key, sizeof key, "%s%020llu", kRevisionPrefix, static_cast<unsigned long long>(number));
  return key;
}

// Throws StoreError unless the operation succeeded.
void check(const rocksdb::Status &status, const char *operation) {
  if (!status.ok()) throw StoreError(std::string("the store: ") + operation + ": " + status.ToString());
}

// Text that is not valid UTF-8 is replaced, so that a client's cause cannot make the dump throw.
std::string serialize(const Revision &revision) {
  return Json{{"number", revision.number},     {"document", revision.document},
              {"user", revision.user},         {"cause", revision.cause},
              {"at", revision.committed_at},   {"confirm_by", revision.confirm_deadline},
              {"back_to", revision.revert_to}, {"commit_id", revision.commit_id}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Revision deserialize(const std::string &key, const std::string &text) {
  try {
    Json json = Json::parse(text);
    Revision revision{json.at("number"), json.at("document"),   json.at("user"),    json.at("cause"),
                      json.at("at"),     json.at("confirm_by"), json.at("back_to"), json.at("commit_id")};
    if (revision_key(revision.number) == key) return revision;
  } catch (const Json::exception &) {
  }
  throw StoreError("the store: no valid revision at key " + key);
}

// Reads all revisions in the order of their numbers and checks that none is missing.
std::vector<Revision> read_revision_range(rocksdb::DB &db) {
  std::vector<Revision> out;
  std::unique_ptr<rocksdb::Iterator> iterator(db.NewIterator(rocksdb::ReadOptions()));
  for (iterator->Seek(kRevisionPrefix); iterator->Valid() && iterator->key().compare(kRevisionsEnd) < 0;
       iterator->Next()) {
    out.push_back(deserialize(iterator->key().ToString(), iterator->value().ToString()));
    if (out.size() > 1 && out[out.size() - 2].number + 1 != out.back().number)
      throw StoreError("the store: the history lacks revision " +
                       std::to_string(out[out.size() - 2].number + 1));
  }
  check(iterator->status(), "reading the history");
  return out;
}

rocksdb::Options database_options() {
  rocksdb::Options options;
  options.create_if_missing = true;
  // Holds a few hundred revisions. Recovery replays the write-ahead log, so a small buffer keeps recovery
  // short.
  options.write_buffer_size = 4 << 20;
  options.max_background_jobs = 2;
  options.keep_log_file_num = 2;
  options.max_log_file_size = 1 << 20;
  options.paranoid_checks = true;
  return options;
}

} // namespace

Store::Store(std::string folder, std::size_t max_revisions)
    : folder_(std::move(folder)), max_revisions_(max_revisions) {
  open();
}
Store::~Store() = default;

void Store::open() {
  rocksdb::DB *db = nullptr;
  check(rocksdb::DB::Open(database_options(), folder_, &db), "opening");
  db_.reset(db);
  // Deletes older revisions: max_revisions_ may be smaller than at the last start, or a crash may have left
  // them.
  std::unique_ptr<rocksdb::Iterator> last(db_->NewIterator(rocksdb::ReadOptions()));
  last->SeekForPrev(kRevisionsEnd);
  if (!last->Valid() || !last->key().starts_with(kRevisionPrefix)) return;
  std::uint64_t newest = std::stoull(last->key().ToString().substr(sizeof kRevisionPrefix - 1));
  last.reset();
  if (newest > max_revisions_)
    check(db_->DeleteRange(rocksdb::WriteOptions(), db_->DefaultColumnFamily(), kRevisionPrefix,
                           revision_key(newest - max_revisions_ + 1)),
          "deleting old revisions");
}

void Store::reopen() {
  if (db_ && db_->Resume().ok()) return;
  db_.reset();
  open();
}

std::vector<Revision> Store::read_revisions() const {
  if (!db_) throw StoreError("the store is not open");
  return read_revision_range(*db_);
}

void Store::append(const Revision &revision) {
  if (!db_) throw StoreError("the store is not open");
  rocksdb::WriteBatch batch;
  check(batch.Put(revision_key(revision.number), serialize(revision)), "writing a revision");
  if (revision.number > max_revisions_)
    check(batch.Delete(revision_key(revision.number - max_revisions_)), "writing a revision");
  rocksdb::WriteOptions durable;
  durable.sync = true;
  check(db_->Write(durable, &batch), "writing a revision");
}

void Store::put(const std::string &key, const std::string &value) {
  if (!db_) throw StoreError("the store is not open");
  rocksdb::WriteOptions durable;
  durable.sync = true;
  check(db_->Put(durable, key, value), "writing a value");
}

std::optional<std::string> Store::get(const std::string &key) const {
  if (!db_) throw StoreError("the store is not open");
  std::string value;
  rocksdb::Status status = db_->Get(rocksdb::ReadOptions(), key, &value);
  if (status.IsNotFound()) return std::nullopt;
  check(status, "reading a value");
  return value;
}

std::string Store::get_text(const std::string &name) const { return get("text/" + name).value_or(""); }
void Store::put_text(const std::string &name, const std::string &text) { put("text/" + name, text); }

std::map<std::string, std::uint64_t> Store::positions() const {
  if (!db_) throw StoreError("the store is not open");
  std::map<std::string, std::uint64_t> out;
  std::unique_ptr<rocksdb::Iterator> iterator(db_->NewIterator(rocksdb::ReadOptions()));
  for (iterator->Seek(kSubscriberPrefix); iterator->Valid() && iterator->key().starts_with(kSubscriberPrefix);
       iterator->Next())
    out[iterator->key().ToString().substr(sizeof kSubscriberPrefix - 1)] =
        std::strtoull(iterator->value().ToString().c_str(), nullptr, 10);
  check(iterator->status(), "reading subscriber positions");
  return out;
}

void Store::put_position(const std::string &subscriber, std::uint64_t revision) {
  put(kSubscriberPrefix + subscriber, std::to_string(revision));
}

std::vector<Revision> Store::read_history_read_only(const std::string &folder) {
  rocksdb::DB *db = nullptr;
  rocksdb::Options read_only_options = database_options();
  read_only_options.create_if_missing = false;
  check(rocksdb::DB::OpenForReadOnly(read_only_options, folder, &db), "opening read-only");
  std::unique_ptr<rocksdb::DB> owner(db);
  return read_revision_range(*owner);
}

} // namespace snowshore::store
