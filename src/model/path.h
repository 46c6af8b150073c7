// Paths into the model's tree as gNMI has them: elements with keys, "*" for any name or key value, "..." for
// any depth. The text form is the one of gNMI's path conventions: /front/products[name=film]/floor, with
// \ before a ] or \ within a key's value.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace snowshore::model {

enum class ModelErrorKind { unknown_path, invalid_value, constraint_violation };
struct ModelError : std::runtime_error { // what() names the path
  ModelError(ModelErrorKind k, std::string at, const std::string &why)
      : std::runtime_error(at + ": " + why), kind(k), path(std::move(at)), cause(why) {}
  ModelErrorKind kind;
  std::string path, cause;
};

struct PathElement {
  std::string name;
  std::map<std::string, std::string> keys;
  bool operator==(const PathElement &) const = default;
};
using Path = std::vector<PathElement>;

Path parse_path(std::string_view text); // throws Fault (unknown_path)
std::string path_to_text(const Path &path);
bool has_wildcard(const Path &path);
std::string path_to_xpath(const Path &path); // throws Fault where a name could be no identifier
// Whether a path without wildcards lies at or under what the pattern names.
bool covers(const Path &pattern, const Path &path);

} // namespace snowshore::model
