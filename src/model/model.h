// The front's YANG model (yang/snowshore.yang, built in): data trees by libyang, the typed record as a tree
// and back, edits, and what a change touches. A document is the configuration as JSON after RFC 7951,
// validated, with every default written out; equal configurations are equal documents, byte for byte. No I/O
// and no clock.
#pragma once
#include "model/path.h"
#include "records/records.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <span>

struct ly_ctx;
struct lyd_node;
struct lysc_node;

namespace snowshore::model {

using Json = nlohmann::json;

enum class TakesEffect { in_service, drained, restart }; // the model's extension takes-effect
const char *name_of(TakesEffect when);

struct PathValue { // a leaf, or a leaf-list whole; of subtrees(): any node
  Path path;
  Json value; // as RFC 7951 has it
};

struct Edit {
  enum class Kind { remove, replace, update };
  Kind kind = Kind::update;
  Path path;
  Json value;
};

struct Difference {
  std::string path;
  TakesEffect takes_effect = TakesEffect::in_service;
  std::optional<Json> before, after; // none: not there
};

std::string format_decimal(double value); // with the six decimals that the model's decimal64 have

class DataTree { // data that the model has read
 public:
  DataTree() = default;
  explicit DataTree(lyd_node *root) : root_(root) {}
  DataTree(DataTree &&other) noexcept : root_(std::exchange(other.root_, nullptr)) {}
  DataTree &operator=(DataTree &&other) noexcept {
    std::swap(root_, other.root_);
    return *this;
  }
  ~DataTree();
  lyd_node *root() const { return root_; }

 private:
  friend class Model;
  lyd_node *root_ = nullptr;
};

class Model { // may be used by several threads
 public:
  Model(); // throws std::runtime_error when the built-in module cannot be read
  ~Model();
  Model(const Model &) = delete;

  // A settled record as a document; throws RecordError where the record holds what the model has no room for.
  std::string to_document(const records::Record &front) const;
  std::string to_record_text(const std::string &document) const; // as a record file's text

  // All edits on the document, validated as a whole. Throws Fault; the document is what it was.
  std::string edit(const std::string &document, std::span<const Edit> edits) const;
  std::string validate(const std::string &json) const; // validated and in full; throws Fault
  std::vector<Difference> diff(const std::string &from, const std::string &to) const;

  DataTree parse(const std::string &json) const; // state, or a document: types are checked, constraints not
  void merge(DataTree &tree, const std::string &json) const;
  std::vector<PathValue> leaves(const DataTree &tree,
                                const Path &path) const; // at and under what the path names
  std::vector<PathValue> subtrees(const DataTree &tree, const Path &path) const; // what it names itself
  // Throws Fault where the schema has nothing that the path could name.
  void require_known_path(const Path &path) const;

  static const char *const kModuleName, *const kModuleRevision, *const kModuleOrganization;

 private:
  const lysc_node *find_schema(const Path &path) const;
  [[noreturn]] void throw_last_error(ModelErrorKind kind, const std::string &path) const;
  DataTree validated(DataTree tree) const;
  std::string print(const DataTree &tree) const;
  std::vector<lyd_node *> find(const DataTree &tree, const Path &path) const;
  void merge_value(DataTree &tree, const Path &path, const Json &value) const;
  ly_ctx *context_ = nullptr;
  const lysc_node *front_ = nullptr;
};

} // namespace snowshore::model
