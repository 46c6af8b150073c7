// The front's YANG model (yang/snowshore.yang, built in), on top of libyang: conversion between the typed
// record and a data tree, edits, and the differences between two configurations. A document is a
// configuration as JSON according to RFC 7951, validated and with every default written out; equal
// configurations have byte-identical documents. This module does no I/O and reads no clock.
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

// When the front can take a change of a node, as the model's extension takes-effect states: while plays run
// (they keep the terms that they started with), only while it has no plays, or only at a new start from the
// record's files. A Set of the last kind is refused.
enum class TakesEffect { in_service, drained, restart };
const char *name_of(TakesEffect when);

// A leaf, or a leaf-list with all its entries. In the result of Model::subtrees it may be any node.
struct PathValue {
  Path path;
  Json value; // encoded according to RFC 7951
};

struct Edit {
  enum class Kind { remove, replace, update };
  Kind kind = Kind::update;
  Path path;
  Json value;
};

// A leaf, leaf-list or list of entries that differs between two documents.
struct Difference {
  std::string path;
  TakesEffect takes_effect = TakesEffect::in_service;
  std::optional<Json> before, after; // nullopt: the document does not have the node
};

// Formats a number with six decimals, as the model's decimal64 types have.
std::string format_decimal(double value);

// Owns a libyang data tree.
class DataTree {
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

// The compiled schema. Several threads may use one Model.
class Model {
 public:
  // Throws std::runtime_error if libyang rejects the built-in module.
  Model();
  ~Model();
  Model(const Model &) = delete;

  // Converts a record with its defaults resolved. Throws RecordError for a value that the model cannot hold.
  std::string to_document(const records::Record &front) const;
  // Returns the document as the text of a record file.
  std::string to_record_text(const std::string &document) const;

  // Applies the edits in their order, validates the result as a whole and returns it. Throws ModelError.
  std::string edit(const std::string &document, std::span<const Edit> edits) const;
  // Validates JSON data and returns it as a document. Throws ModelError.
  std::string validate(const std::string &json) const;
  std::vector<Difference> diff(const std::string &from, const std::string &to) const;

  // Parses state data or a document. Types are checked, the model's constraints are not. Throws ModelError.
  DataTree parse(const std::string &json) const;
  // Parses the data and merges it into the tree. Throws ModelError.
  void merge(DataTree &tree, const std::string &json) const;
  // Returns the leaves at and below the nodes that the path names, ordered by their path texts.
  std::vector<PathValue> leaves(const DataTree &tree, const Path &path) const;
  // Returns the nodes that the path names, each with its whole subtree as its value.
  std::vector<PathValue> subtrees(const DataTree &tree, const Path &path) const;
  // Throws ModelError (unknown_path) if the schema has no node that the path can name.
  void require_known_path(const Path &path) const;

  static const char *const kModuleName, *const kModuleRevision, *const kModuleOrganization;

 private:
  // Returns the schema node of a path without wildcards, or null.
  const lysc_node *find_schema(const Path &path) const;
  // Throws ModelError with the last error that libyang recorded.
  [[noreturn]] void throw_last_error(ModelErrorKind kind, const std::string &path) const;
  DataTree validated(DataTree tree) const;
  std::string print(const DataTree &tree) const;
  std::vector<lyd_node *> find(const DataTree &tree, const Path &path) const;
  void merge_value(DataTree &tree, const Path &path, const Json &value) const;
  ly_ctx *context_ = nullptr;
  const lysc_node *front_ = nullptr;
};

} // namespace snowshore::model
