// Paths into the model's data tree, as gNMI has them: elements with keys, "*" for any name or key value and
// "..." for any depth. The text form follows gNMI's path conventions, as in /front/products[name=film]/floor;
// a backslash escapes "]" and "\" within a key's value.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace snowshore::model {

enum class ModelErrorKind { unknown_path, invalid_value, constraint_violation };
// An error in a path, a value or an edit. what() is "path: reason".
struct ModelError : std::runtime_error {
  ModelError(ModelErrorKind error_kind, std::string at, const std::string &why)
      : std::runtime_error(at + ": " + why), kind(error_kind), path(std::move(at)), reason(why) {}
  ModelErrorKind kind;
  std::string path, reason;
};

struct PathElement {
  std::string name;
  std::map<std::string, std::string> keys;
  bool operator==(const PathElement &) const = default;
};
using Path = std::vector<PathElement>;

// Parses the text form; the prefix "snowshore:" of names is dropped. Throws ModelError (unknown_path).
Path parse_path(std::string_view text);
std::string path_to_text(const Path &path);
bool has_wildcard(const Path &path);
// Returns an XPath expression for libyang. Throws ModelError (unknown_path) for a name that is no identifier.
std::string path_to_xpath(const Path &path);
// Whether a path without wildcards lies at or below a node that the pattern names.
bool covers(const Path &pattern, const Path &path);

} // namespace snowshore::model
