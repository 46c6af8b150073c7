#include "model/path.h"

#include <algorithm>

namespace snowshore::model {

namespace {

// Bounds the work that a path from a client causes.
constexpr std::size_t kMaxElements = 64;
constexpr std::string_view kModulePrefix = "snowshore:";

bool is_identifier(std::string_view name) {
  auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  return !name.empty() && letter(name[0]) && std::all_of(name.begin(), name.end(), [&](char c) {
    return letter(c) || (c >= '0' && c <= '9') || c == '-' || c == '.';
  });
}

std::string_view strip_module_prefix(std::string_view name) {
  return name.starts_with(kModulePrefix) ? name.substr(kModulePrefix.size()) : name;
}

// Quotes a value for XPath. XPath 1.0 has no escapes, so a value with both kinds of quotes becomes a concat()
// of its parts between the single quotes.
std::string xpath_literal(const std::string &value) {
  if (value.find('\'') == std::string::npos) return "'" + value + "'";
  if (value.find('"') == std::string::npos) return '"' + value + '"';
  std::string out = "concat(";
  for (std::size_t from = 0;;) {
    std::size_t quote = std::min(value.find('\'', from), value.size());
    out += "'" + value.substr(from, quote - from) + "'";
    if (quote == value.size()) return out + ")";
    out += ",\"'\",";
    from = quote + 1;
  }
}

} // namespace

Path parse_path(std::string_view text) {
  auto parse_error = [&](const char *reason) {
    return ModelError(ModelErrorKind::unknown_path, "'" + std::string(text) + "'", reason);
  };
  Path path;
  std::size_t at = 0;
  while (at < text.size()) {
    if (text[at] != '/') throw parse_error("an element must begin with /");
    ++at;
    if (at == text.size()) break; // A trailing / is ignored.
    PathElement element;
    while (at < text.size() && text[at] != '/' && text[at] != '[') element.name += text[at++];
    while (at < text.size() && text[at] == '[') {
      std::string name, value;
      for (++at; at < text.size() && text[at] != '='; ++at) name += text[at];
      if (at == text.size()) throw parse_error("a key has the form [name=value]");
      for (++at; at < text.size() && text[at] != ']'; ++at) {
        if (text[at] == '\\' && ++at == text.size()) throw parse_error("the path ends within a key");
        value += text[at];
      }
      if (at++ >= text.size()) throw parse_error("a key is not closed by ]");
      if (!element.keys.emplace(std::string(strip_module_prefix(name)), value).second)
        throw parse_error("a key appears twice");
    }
    element.name = strip_module_prefix(element.name);
    if (element.name != "*" && element.name != "..." && !is_identifier(element.name))
      throw parse_error("an element has no valid name");
    path.push_back(std::move(element));
    if (path.size() > kMaxElements) throw parse_error("the path has too many elements");
  }
  return path;
}

std::string path_to_text(const Path &path) {
  std::string out;
  for (const PathElement &element : path) {
    out += '/';
    out += element.name;
    for (const auto &[name, value] : element.keys) {
      out += '[';
      out += name;
      out += '=';
      for (char c : value) {
        if (c == ']' || c == '\\') out += '\\';
        out += c;
      }
      out += ']';
    }
  }
  return out.empty() ? "/" : out;
}

bool has_wildcard(const Path &path) {
  return std::ranges::any_of(path, [](const PathElement &element) {
    return element.name == "*" || element.name == "..." ||
           std::ranges::any_of(element.keys, [](const auto &key) { return key.second == "*"; });
  });
}

std::string path_to_xpath(const Path &path) {
  if (path.size() > kMaxElements)
    throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "the path has too many elements");
  std::string out;
  bool any_depth = false, first = true;
  for (const PathElement &element : path) {
    if (element.name == "...") {
      any_depth = true;
      continue;
    }
    std::string name(strip_module_prefix(element.name));
    if (name != "*" && !is_identifier(name))
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "no such element");
    out += any_depth ? "//" : "/";
    out += (first || any_depth) && name != "*" ? std::string(kModulePrefix) + name : name;
    any_depth = first = false;
    for (const auto &[key, value] : element.keys) {
      if (!is_identifier(key))
        throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "no such key");
      if (value != "*") out += "[" + key + "=" + xpath_literal(value) + "]";
    }
  }
  if (any_depth) out += "//*";
  return out.empty() ? "/*" : out;
}

bool covers(const Path &pattern, const Path &path) {
  auto match = [](const PathElement &p, const PathElement &e) {
    if (p.name != "*" && strip_module_prefix(p.name) != strip_module_prefix(e.name)) return false;
    return std::ranges::all_of(p.keys, [&](const auto &key) {
      auto it = e.keys.find(key.first);
      return it != e.keys.end() && (key.second == "*" || key.second == it->second);
    });
  };
  // Matches the elements after "..." at any depth, as glob matching treats "*": greedily, with a return to
  // the last "..." on a mismatch.
  std::size_t p = 0, e = 0, pattern_resume = std::string::npos, path_resume = 0;
  while (p < pattern.size()) {
    if (pattern[p].name == "...") {
      pattern_resume = ++p, path_resume = e;
    } else if (e < path.size() && match(pattern[p], path[e])) {
      ++p, ++e;
    } else if (pattern_resume != std::string::npos && path_resume < path.size()) {
      p = pattern_resume, e = ++path_resume;
    } else {
      return false;
    }
  }
  return true;
}

} // namespace snowshore::model
