#include "store/store.h"

#include <nlohmann/json.hpp>
#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>

#include <cstdio>

namespace snowshore::store {

using management::Revision;
using Json = nlohmann::json;

namespace {

constexpr char kRevisions[] = "revision/", kAfterRevisions[] = "revision0"; // '0' comes after '/'
constexpr char kSubscribers[] = "subscriber/";

std::string key_of(std::uint64_t number) { // keys in the order of their numbers
  char key[40];
  std::snprintf(key, sizeof key, "%s%020llu", kRevisions, static_cast<unsigned long long>(number));
  return key;
}

void check(const rocksdb::Status &status, const char *doing) {
  if (!status.ok()) throw StoreError(std::string("the store, ") + doing + ": " + status.ToString());
}

std::string pack(const Revision &r) {
  return Json{
      {"number", r.number}, {"document", r.document},     {"user", r.user},       {"cause", r.cause},
      {"at", r.at},         {"confirm_by", r.confirm_by}, {"back_to", r.back_to}, {"commit_id", r.commit_id}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Revision unpack(const std::string &key, const std::string &text) {
  try {
    Json j = Json::parse(text);
    Revision r{j.at("number"), j.at("document"),   j.at("user"),    j.at("cause"),
               j.at("at"),     j.at("confirm_by"), j.at("back_to"), j.at("commit_id")};
    if (key_of(r.number) == key) return r;
  } catch (const Json::exception &) {
  }
  throw StoreError("the store holds something else than a revision at " + key);
}

std::vector<Revision> read_all(rocksdb::DB &db) {
  std::vector<Revision> out;
  std::unique_ptr<rocksdb::Iterator> at(db.NewIterator(rocksdb::ReadOptions()));
  for (at->Seek(kRevisions); at->Valid() && at->key().compare(kAfterRevisions) < 0; at->Next()) {
    out.push_back(unpack(at->key().ToString(), at->value().ToString()));
    if (out.size() > 1 && out[out.size() - 2].number + 1 != out.back().number)
      throw StoreError("the history lacks revision " + std::to_string(out[out.size() - 2].number + 1));
  }
  check(at->status(), "reading the history");
  return out;
}

rocksdb::Options options() {
  rocksdb::Options options;
  options.create_if_missing = true;
  options.write_buffer_size =
      4 << 20; // a few hundred revisions; replaying the log is what recovery waits for
  options.max_background_jobs = 2;
  options.keep_log_file_num = 2;
  options.max_log_file_size = 1 << 20;
  options.paranoid_checks = true;
  return options;
}

} // namespace

Store::Store(std::string folder, std::size_t kept) : folder_(std::move(folder)), kept_(kept) { open(); }
Store::~Store() = default;

void Store::open() {
  rocksdb::DB *db = nullptr;
  check(rocksdb::DB::Open(options(), folder_, &db), "opening");
  db_.reset(db);
  // A smaller number to keep than before, or a crash between: what is older goes now.
  std::unique_ptr<rocksdb::Iterator> last(db_->NewIterator(rocksdb::ReadOptions()));
  last->SeekForPrev(kAfterRevisions);
  if (!last->Valid() || !last->key().starts_with(kRevisions)) return;
  std::uint64_t newest = std::stoull(last->key().ToString().substr(sizeof kRevisions - 1));
  last.reset();
  if (newest > kept_)
    check(db_->DeleteRange(rocksdb::WriteOptions(), db_->DefaultColumnFamily(), kRevisions,
                           key_of(newest - kept_ + 1)),
          "dropping old revisions");
}

void Store::reopen() {
  if (db_ && db_->Resume().ok()) return;
  db_.reset();
  open();
}

std::vector<Revision> Store::read() const {
  if (!db_) throw StoreError("the store is shut");
  return read_all(*db_);
}

void Store::append(const Revision &revision) {
  if (!db_) throw StoreError("the store is shut");
  rocksdb::WriteBatch batch;
  check(batch.Put(key_of(revision.number), pack(revision)), "writing a revision");
  if (revision.number > kept_) check(batch.Delete(key_of(revision.number - kept_)), "writing a revision");
  rocksdb::WriteOptions durable;
  durable.sync = true;
  check(db_->Write(durable, &batch), "writing a revision");
}

void Store::put(const std::string &key, const std::string &value) {
  if (!db_) throw StoreError("the store is shut");
  rocksdb::WriteOptions durable;
  durable.sync = true;
  check(db_->Put(durable, key, value), "writing");
}

std::optional<std::string> Store::get(const std::string &key) const {
  if (!db_) throw StoreError("the store is shut");
  std::string value;
  rocksdb::Status status = db_->Get(rocksdb::ReadOptions(), key, &value);
  if (status.IsNotFound()) return std::nullopt;
  check(status, "reading");
  return value;
}

std::string Store::text(const std::string &name) const { return get("text/" + name).value_or(""); }
void Store::put_text(const std::string &name, const std::string &text) { put("text/" + name, text); }

std::map<std::string, std::uint64_t> Store::positions() const {
  if (!db_) throw StoreError("the store is shut");
  std::map<std::string, std::uint64_t> out;
  std::unique_ptr<rocksdb::Iterator> at(db_->NewIterator(rocksdb::ReadOptions()));
  for (at->Seek(kSubscribers); at->Valid() && at->key().starts_with(kSubscribers); at->Next())
    out[at->key().ToString().substr(sizeof kSubscribers - 1)] =
        std::strtoull(at->value().ToString().c_str(), nullptr, 10);
  check(at->status(), "reading positions");
  return out;
}

void Store::put_position(const std::string &subscriber, std::uint64_t revision) {
  put(kSubscribers + subscriber, std::to_string(revision));
}

std::vector<Revision> Store::peek(const std::string &folder) {
  rocksdb::DB *db = nullptr;
  rocksdb::Options only_read = options();
  only_read.create_if_missing = false;
  check(rocksdb::DB::OpenForReadOnly(only_read, folder, &db), "opening to read");
  std::unique_ptr<rocksdb::DB> owned(db);
  return read_all(*owned);
}

} // namespace snowshore::store
