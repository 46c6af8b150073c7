#include "model/model.h"
#include "model/module_text.h"

#include <libyang/libyang.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <unordered_set>

namespace snowshore::model {

const char *const Model::kModuleName = "snowshore", *const Model::kModuleRevision = "2026-12-01",
                  *const Model::kModuleOrganization = "snowshore";

const char *name_of(TakesEffect when) {
  constexpr const char *kNames[] = {"in-service", "drained", "restart"};
  return kNames[static_cast<int>(when)];
}

std::string format_decimal(double value) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%.6f", value);
  return buffer;
}

DataTree::~DataTree() { lyd_free_all(root_); }

namespace {

constexpr unsigned kPrintOptions =
    LYD_PRINT_WITHSIBLINGS | LYD_PRINT_WD_ALL | LYD_PRINT_SHRINK | LYD_PRINT_KEEPEMPTYCONT;

const lysc_node *first_child(const lysc_node *node) { return lysc_node_child(node); }
bool is_list(const lysc_node *node) { return node->nodetype == LYS_LIST; }
bool is_leaf(const lysc_node *node) { return node->nodetype == LYS_LEAF; }
bool is_leaf_list(const lysc_node *node) { return node->nodetype == LYS_LEAFLIST; }

const lysc_type *type_of(const lysc_node *node) {
  return is_leaf(node) ? reinterpret_cast<const lysc_node_leaf *>(node)->type
                       : reinterpret_cast<const lysc_node_leaflist *>(node)->type;
}
std::string_view units_of(const lysc_node *node) {
  const char *units = is_leaf(node) ? reinterpret_cast<const lysc_node_leaf *>(node)->units : nullptr;
  return units ? units : "";
}
const lysc_node *child_of(const lysc_node *parent, std::string_view name) {
  for (const lysc_node *node = first_child(parent); node; node = node->next) {
    if (node->name == name) return node;
  }
  return nullptr;
}

// The encoding of numbers in JSON, RFC 7951, sections 6.1 and 6.2: 64-bit types and decimal64 are strings.
bool is_json_string(LY_DATA_TYPE base) {
  return base == LY_TYPE_DEC64 || base == LY_TYPE_INT64 || base == LY_TYPE_UINT64;
}
bool is_json_number(LY_DATA_TYPE base) {
  return base == LY_TYPE_INT8 || base == LY_TYPE_INT16 || base == LY_TYPE_INT32 || base == LY_TYPE_UINT8 ||
         base == LY_TYPE_UINT16 || base == LY_TYPE_UINT32;
}

Json term_to_json(const lyd_node *term) {
  LY_DATA_TYPE base = type_of(term->schema)->basetype;
  const char *text = lyd_get_value(term);
  if (is_json_number(base)) return std::stoll(text);
  if (base == LY_TYPE_BOOL) return std::strcmp(text, "true") == 0;
  return text;
}

// Encodes scalars as the types of their leaves require. Clients send 0.5 in place of "0.5" and the reverse.
Json coerce_scalars(const lysc_node *node, Json value) {
  if (value.is_object()) {
    for (auto &[name, inner] : value.items()) {
      const lysc_node *child = child_of(node, name.starts_with("snowshore:") ? name.substr(10) : name);
      if (child) inner = coerce_scalars(child, std::move(inner));
    }
    return value;
  }
  if (value.is_array()) {
    for (Json &entry : value) entry = coerce_scalars(node, std::move(entry));
    return value;
  }
  if (!is_leaf(node) && !is_leaf_list(node)) return value;
  LY_DATA_TYPE base = type_of(node)->basetype;
  if (value.is_number() && !is_json_number(base)) return value.dump();
  if (value.is_string() && (is_json_number(base) || base == LY_TYPE_BOOL)) {
    Json parsed = Json::parse(value.get<std::string>(), nullptr, false);
    if (parsed.is_number() || parsed.is_boolean()) return parsed;
  }
  return value;
}

// Returns the value of the nearest takes-effect extension at or above the node.
TakesEffect takes_effect_of(const lysc_node *node) {
  for (; node; node = node->parent) {
    for (LY_ARRAY_COUNT_TYPE i = 0; i < LY_ARRAY_COUNT(node->exts); ++i) {
      if (std::strcmp(node->exts[i].def->name, "takes-effect") != 0) continue;
      std::string_view when = node->exts[i].argument;
      return when == "restart"   ? TakesEffect::restart
             : when == "drained" ? TakesEffect::drained
                                 : TakesEffect::in_service;
    }
  }
  return TakesEffect::restart;
}

Path path_of(const lyd_node *node) {
  Path path;
  for (; node; node = lyd_parent(node)) {
    PathElement element;
    element.name = node->schema->name;
    if (is_list(node->schema)) {
      for (const lyd_node *key = lyd_child(node); key && lysc_is_key(key->schema); key = key->next)
        element.keys[key->schema->name] = lyd_get_value(key);
    }
    path.push_back(std::move(element));
  }
  std::ranges::reverse(path);
  return path;
}

// Calls f with each leaf and each leaf-list entry at or below the node.
template <class F> void for_each_term(const lyd_node *top, F f) {
  if (top->schema && (is_leaf(top->schema) || is_leaf_list(top->schema))) return f(top);
  for (const lyd_node *child = lyd_child(top); child; child = child->next) for_each_term(child, f);
}

void collect_leaves(const lyd_node *top, std::vector<PathValue> &into) {
  for_each_term(top, [&](const lyd_node *term) {
    Path path = path_of(term);
    if (!is_leaf_list(term->schema)) {
      into.push_back({std::move(path), term_to_json(term)});
    } else if (!into.empty() && into.back().path == path) {
      into.back().value.push_back(term_to_json(term));
    } else {
      into.push_back({std::move(path), Json::array({term_to_json(term)})});
    }
  });
}

// Formats a number of the record. Throws RecordError if six decimals cannot express it to a relative accuracy
// of 1e-9.
std::string decimal_or_throw(const records::Record &where, double value) {
  std::string text = format_decimal(value);
  if (std::abs(std::strtod(text.c_str(), nullptr) - value) > std::abs(value) * 1e-9)
    throw records::RecordError({{where.value().location, where.path(), "a number with at most six decimals",
                                 records::describe(where.value())}});
  return text;
}

// Converts a scalar of the record; durations become seconds and rates kilobytes per second.
Json scalar_to_json(const lysc_node *node, const records::Record &value) {
  LY_DATA_TYPE base = type_of(node)->basetype;
  if (units_of(node) == "seconds") return decimal_or_throw(value, records::parse_seconds(value.as_text()));
  if (units_of(node) == "kilobytes per second") return decimal_or_throw(value, value.as_rate());
  if (base == LY_TYPE_DEC64) return decimal_or_throw(value, value.as_number());
  if (is_json_number(base)) return static_cast<std::int64_t>(value.as_number());
  if (is_json_string(base)) return std::to_string(static_cast<std::int64_t>(value.as_number()));
  if (base == LY_TYPE_BOOL) return value.value().boolean;
  return value.as_text();
}

// Converts a struct of the record, field by field as the schema names them. Entries of a list that has the
// key "number" are numbered by their position.
Json record_to_json(const lysc_node *schema, const records::Record &record) {
  Json out = Json::object();
  for (const lysc_node *node = first_child(schema); node; node = node->next) {
    if (is_list(node)) {
      Json items = Json::array();
      for (const records::Record &item : record.items(node->name)) {
        Json entry = record_to_json(node, item);
        if (child_of(node, "number")) entry["number"] = items.size();
        items.push_back(std::move(entry));
      }
      out[node->name] = std::move(items);
    } else if (is_leaf_list(node)) {
      Json items = Json::array();
      for (const records::Record &item : record.items(node->name))
        items.push_back(scalar_to_json(node, item));
      out[node->name] = std::move(items);
    } else if (is_leaf(node)) {
      if (record.has(node->name)) out[node->name] = scalar_to_json(node, record.at(node->name));
    } else {
      out[node->name] = record_to_json(node, record.at(node->name));
    }
  }
  return out;
}

// Writes the text as a string literal of a record file.
std::string quote(const std::string &text) {
  records::Value value;
  value.kind = records::Value::Kind::string;
  value.text = text;
  return records::render(value);
}

std::string scalar_to_record_text(const lysc_node *node, const Json &value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  LY_DATA_TYPE base = type_of(node)->basetype;
  if (units_of(node) == "seconds") return quote(text + "s");
  if (units_of(node) == "kilobytes per second") return quote(text + "kB/s");
  if (is_json_number(base) || is_json_string(base) || base == LY_TYPE_BOOL) return text;
  return quote(text);
}

// Writes the fields of a document's object as record text, the inverse of record_to_json.
void write_record_fields(const lysc_node *schema, const Json &value, std::string &out,
                         const std::string &indent) {
  for (const lysc_node *node = first_child(schema); node; node = node->next) {
    Json child = value.contains(node->name) ? value[node->name] : Json();
    // In a record the position in the list stands for the key "number".
    if (std::strcmp(node->name, "number") == 0) continue;
    if (is_list(node)) {
      if (child.is_array() && child_of(node, "number"))
        std::stable_sort(child.begin(), child.end(), [](const Json &a, const Json &b) {
          return a["number"].get<int>() < b["number"].get<int>();
        });
      out += indent + node->name + ": [";
      for (const Json &item : child) {
        out += "{\n";
        write_record_fields(node, item, out, indent + "  ");
        out += indent + "},";
      }
      out += "]\n";
    } else if (is_leaf_list(node)) {
      out += indent + node->name + ": [";
      for (const Json &item : child) out += scalar_to_record_text(node, item) + ",";
      out += "]\n";
    } else if (is_leaf(node)) {
      if (!child.is_null()) out += indent + node->name + ": " + scalar_to_record_text(node, child) + "\n";
    } else {
      out += indent + node->name + ": {\n";
      write_record_fields(node, child.is_object() ? child : Json::object(), out, indent + "  ");
      out += indent + "}\n";
    }
  }
}

} // namespace

Model::Model() {
  ly_log_options(LY_LOSTORE_LAST);
  if (ly_ctx_new(nullptr, LY_CTX_NO_YANGLIBRARY, &context_) != LY_SUCCESS)
    throw std::runtime_error("cannot create a libyang context");
  lys_module *module = nullptr;
  if (lys_parse_mem(context_, kModuleText, LYS_IN_YANG, &module) != LY_SUCCESS) {
    std::string reason = ly_errmsg(context_) ? ly_errmsg(context_) : "unknown error";
    ly_ctx_destroy(context_);
    throw std::runtime_error("cannot parse the built-in YANG module: " + reason);
  }
  front_ = lys_find_path(context_, nullptr, "/snowshore:front", 0);
}

Model::~Model() { ly_ctx_destroy(context_); }

void Model::throw_last_error(ModelErrorKind kind, const std::string &path) const {
  const char *message = ly_errmsg(context_), *location = ly_errpath(context_);
  std::string reason = message ? message : "does not match the model";
  std::string data_path = location ? location : "";
  for (std::size_t i; (i = data_path.find("snowshore:")) != std::string::npos;) data_path.erase(i, 10);
  // libyang's location ends with the data path, as in: Data location "/front/...".
  if (std::size_t i = data_path.rfind("ata location \""); i != std::string::npos)
    data_path = data_path.substr(i + 14, data_path.rfind('"') - i - 14);
  throw ModelError(kind, data_path.empty() || path.size() > data_path.size() ? path : data_path, reason);
}

DataTree Model::parse(const std::string &json) const {
  DataTree tree;
  if (lyd_parse_data_mem(context_, json.c_str(), LYD_JSON, LYD_PARSE_ONLY | LYD_PARSE_STRICT, 0,
                         &tree.root_) != LY_SUCCESS)
    throw_last_error(ModelErrorKind::invalid_value, "/");
  return tree;
}

void Model::merge(DataTree &tree, const std::string &json) const {
  DataTree more = parse(json);
  if (lyd_merge_siblings(&tree.root_, std::exchange(more.root_, nullptr), LYD_MERGE_DESTRUCT) != LY_SUCCESS)
    throw_last_error(ModelErrorKind::invalid_value, "/");
}

DataTree Model::validated(DataTree tree) const {
  if (lyd_validate_all(&tree.root_, context_, LYD_VALIDATE_NO_STATE, nullptr) != LY_SUCCESS)
    throw_last_error(ModelErrorKind::constraint_violation, "/front");
  return tree;
}

std::string Model::print(const DataTree &tree) const {
  char *text = nullptr;
  if (lyd_print_mem(&text, tree.root_, LYD_JSON, kPrintOptions) != LY_SUCCESS)
    throw_last_error(ModelErrorKind::invalid_value, "/");
  std::string out = text ? text : "{}";
  std::free(text);
  return out;
}

std::string Model::validate(const std::string &json) const { return print(validated(parse(json))); }

std::string Model::to_document(const records::Record &front) const {
  return validate(Json{{"snowshore:front", record_to_json(front_, front)}}.dump());
}

std::string Model::to_record_text(const std::string &document) const {
  std::string out;
  write_record_fields(front_, Json::parse(document).at("snowshore:front"), out, "");
  return out;
}

const lysc_node *Model::find_schema(const Path &path) const {
  const lysc_node *node = nullptr;
  for (const PathElement &element : path) {
    std::string name = element.name.starts_with("snowshore:") ? element.name.substr(10) : element.name;
    node = node ? child_of(node, name) : lys_find_path(context_, nullptr, ("/snowshore:" + name).c_str(), 0);
    if (!node) return nullptr;
    for (const auto &[key, value] : element.keys) {
      const lysc_node *leaf = is_list(node) ? child_of(node, key) : nullptr;
      if (!leaf || !lysc_is_key(leaf)) return nullptr;
    }
  }
  return node;
}

void Model::require_known_path(const Path &path) const {
  path_to_xpath(path); // checks the names
  if (path.empty()) return;
  bool known = true;
  if (!has_wildcard(path)) {
    known = find_schema(path) != nullptr;
  } else {
    Path without_keys = path; // Key values are no part of the schema.
    for (PathElement &element : without_keys) element.keys.clear();
    ly_set *set = nullptr;
    known = lys_find_xpath(context_, nullptr, path_to_xpath(without_keys).c_str(), 0, &set) == LY_SUCCESS &&
            set->count > 0;
    ly_set_free(set, nullptr);
  }
  if (!known) throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "no such path in the model");
}

std::vector<lyd_node *> Model::find(const DataTree &tree, const Path &path) const {
  require_known_path(path);
  std::vector<lyd_node *> found;
  if (!tree.root_) return found;
  ly_set *set = nullptr;
  if (lyd_find_xpath(tree.root_, path_to_xpath(path).c_str(), &set) != LY_SUCCESS)
    throw_last_error(ModelErrorKind::unknown_path, path_to_text(path));
  for (std::uint32_t i = 0; i < set->count; ++i) found.push_back(set->dnodes[i]);
  ly_set_free(set, nullptr);
  return found;
}

std::vector<PathValue> Model::leaves(const DataTree &tree, const Path &path) const {
  std::vector<PathValue> out;
  auto found = find(tree, path);
  std::unordered_set<const lyd_node *> found_set;
  if (has_wildcard(path)) found_set.insert(found.begin(), found.end());
  for (std::size_t i = 0; i < found.size(); ++i) {
    // With "..." the result has a node and its descendants; a node whose ancestor is found too is skipped.
    bool has_found_ancestor = false;
    for (const lyd_node *ancestor = lyd_parent(found[i]); ancestor && !has_found_ancestor;
         ancestor = lyd_parent(ancestor))
      has_found_ancestor = found_set.contains(ancestor);
    if (!has_found_ancestor) collect_leaves(found[i], out);
  }
  std::ranges::stable_sort(out, {}, [](const PathValue &leaf) { return path_to_text(leaf.path); });
  out.erase(std::unique(out.begin(), out.end(),
                        [](const PathValue &a, const PathValue &b) { return a.path == b.path; }),
            out.end());
  return out;
}

std::vector<PathValue> Model::subtrees(const DataTree &tree, const Path &path) const {
  std::vector<PathValue> out;
  for (const lyd_node *node : find(tree, path)) {
    if (is_leaf(node->schema) || is_leaf_list(node->schema)) {
      collect_leaves(node, out);
      continue;
    }
    char *text = nullptr;
    if (lyd_print_mem(&text, node, LYD_JSON, kPrintOptions & ~unsigned{LYD_PRINT_WITHSIBLINGS}) != LY_SUCCESS)
      throw_last_error(ModelErrorKind::invalid_value, path_to_text(path));
    Json printed = Json::parse(text ? text : "{}");
    std::free(text);
    Json value = printed.empty() ? Json::object() : *printed.begin();
    out.push_back({path_of(node), value.is_array() ? value.at(0) : value});
  }
  return out;
}

// Wraps the value in the objects and list entries that the path names, and merges the result.
void Model::merge_value(DataTree &tree, const Path &path, const Json &value) const {
  const lysc_node *schema = path.empty() ? nullptr : find_schema(path);
  Json wrapped = schema ? coerce_scalars(schema, value) : value;
  for (std::size_t i = path.size(); i-- > 0;) {
    const lysc_node *node = find_schema({path.begin(), path.begin() + static_cast<std::ptrdiff_t>(i) + 1});
    if (is_list(node) && !path[i].keys.empty()) {
      if (!wrapped.is_object())
        throw ModelError(ModelErrorKind::invalid_value, path_to_text(path), "a list entry must be an object");
      for (const auto &[key, text] : path[i].keys) {
        Json key_value = coerce_scalars(child_of(node, key), text);
        if (wrapped.contains(key) && wrapped[key] != key_value)
          throw ModelError(ModelErrorKind::invalid_value, path_to_text(path),
                           "the key in the value differs from the key in the path");
        wrapped[key] = key_value;
      }
      wrapped = Json::array({wrapped});
    } else if (is_list(node) && i + 1 < path.size()) {
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(path),
                       "a list entry must be named by its key");
    }
    wrapped = Json{{i == 0 ? "snowshore:" + std::string(node->name) : std::string(node->name), wrapped}};
  }
  if (!wrapped.is_object())
    throw ModelError(ModelErrorKind::invalid_value, path_to_text(path), "the value must be an object");
  try {
    merge(tree, wrapped.dump());
  } catch (const ModelError &error) {
    throw ModelError(error.kind, path_to_text(path), error.reason);
  } catch (const Json::exception &) {
    throw ModelError(ModelErrorKind::invalid_value, path_to_text(path), "a string is not valid UTF-8");
  }
}

std::string Model::edit(const std::string &document, std::span<const Edit> edits) const {
  DataTree tree = parse(document);
  for (const Edit &edit : edits) {
    if (has_wildcard(edit.path))
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(edit.path),
                       "wildcards are not allowed in a Set");
    require_known_path(edit.path);
    const lysc_node *schema = edit.path.empty() ? nullptr : find_schema(edit.path);
    if (schema && (schema->flags & LYS_CONFIG_R))
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(edit.path), "state data cannot be set");
    if (schema && lysc_is_key(schema) && edit.kind != Edit::Kind::update)
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(edit.path),
                       "a key can be removed or replaced only with its list entry");
    if (edit.kind != Edit::Kind::update) {
      bool is_entry = schema && is_list(schema) && !edit.path.back().keys.empty();
      for (lyd_node *node : find(tree, edit.path)) {
        if (edit.kind == Edit::Kind::replace && is_entry) { // The entry keeps its position in the list.
          for (lyd_node *child = lyd_child_no_keys(node), *next; child; child = next) {
            next = child->next;
            lyd_free_tree(child);
          }
          continue;
        }
        if (node == tree.root_) tree.root_ = node->next;
        lyd_free_tree(node);
      }
    }
    if (edit.kind != Edit::Kind::remove) merge_value(tree, edit.path, edit.value);
  }
  return print(validated(std::move(tree)));
}

std::vector<Difference> Model::diff(const std::string &from, const std::string &to) const {
  if (from == to) return {};
  std::map<std::string, Difference> differences;
  auto collect_side = [&](const std::string &document, std::optional<Json> Difference::*side) {
    DataTree tree = parse(document);
    if (!tree.root_) return;
    std::vector<PathValue> leaves;
    for (const lyd_node *top = tree.root_; top; top = top->next) collect_leaves(top, leaves);
    for (PathValue &leaf : leaves) {
      Difference &difference = differences[path_to_text(leaf.path)];
      difference.takes_effect = takes_effect_of(find_schema(leaf.path));
      // A list's own difference shows which entries it has and in which order.
      for (std::size_t i = 0; i < leaf.path.size(); ++i) {
        if (leaf.path[i].keys.empty()) continue;
        Path list(leaf.path.begin(), leaf.path.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        list.back().keys.clear();
        Difference &entries = differences[path_to_text(list)];
        entries.takes_effect = takes_effect_of(find_schema(list));
        if (!(entries.*side)) entries.*side = Json::array();
        Json key = leaf.path[i].keys.begin()->second;
        if ((entries.*side)->empty() || (entries.*side)->back() != key) (entries.*side)->push_back(key);
      }
      difference.*side = std::move(leaf.value);
    }
  };
  collect_side(from, &Difference::before);
  collect_side(to, &Difference::after);
  std::vector<Difference> out;
  for (auto &[path, difference] : differences) {
    difference.path = path;
    if (difference.before != difference.after) out.push_back(std::move(difference));
  }
  return out;
}

} // namespace snowshore::model
