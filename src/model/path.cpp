#include "model/path.h"

#include <algorithm>

namespace snowshore::model {

namespace {

constexpr std::size_t kMaxElements = 64; // guards the walk over what a client sends
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

std::string xpath_literal(const std::string &value) {
  if (value.find('\'') == std::string::npos) return "'" + value + "'";
  if (value.find('"') == std::string::npos) return '"' + value + '"';
  std::string out = "concat("; // XPath has no escapes: the parts between single quotes, joined
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
  auto parse_error = [&](const char *why) {
    return ModelError(ModelErrorKind::unknown_path, "'" + std::string(text) + "'", why);
  };
  Path path;
  std::size_t at = 0;
  while (at < text.size()) {
    if (text[at] != '/') throw parse_error("an element begins with /");
    ++at;
    if (at == text.size()) break; // a / at the end names nothing more
    PathElement elem;
    while (at < text.size() && text[at] != '/' && text[at] != '[') elem.name += text[at++];
    while (at < text.size() && text[at] == '[') {
      std::string name, value;
      for (++at; at < text.size() && text[at] != '='; ++at) name += text[at];
      if (at == text.size()) throw parse_error("a key has the form [name=value]");
      for (++at; at < text.size() && text[at] != ']'; ++at) {
        if (text[at] == '\\' && ++at == text.size()) throw parse_error("a path ends within a key");
        value += text[at];
      }
      if (at++ >= text.size()) throw parse_error("a key is not closed by ]");
      if (!elem.keys.emplace(std::string(strip_module_prefix(name)), value).second)
        throw parse_error("a key stands twice");
    }
    elem.name = strip_module_prefix(elem.name);
    if (elem.name != "*" && elem.name != "..." && !is_identifier(elem.name))
      throw parse_error("an element has no name");
    path.push_back(std::move(elem));
    if (path.size() > kMaxElements) throw parse_error("too many elements");
  }
  return path;
}

std::string path_to_text(const Path &path) {
  std::string out;
  for (const PathElement &elem : path) {
    out += '/';
    out += elem.name;
    for (const auto &[name, value] : elem.keys) {
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
  return std::ranges::any_of(path, [](const PathElement &elem) {
    return elem.name == "*" || elem.name == "..." ||
           std::ranges::any_of(elem.keys, [](const auto &key) { return key.second == "*"; });
  });
}

std::string path_to_xpath(const Path &path) {
  if (path.size() > kMaxElements)
    throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "too many elements");
  std::string out;
  bool any_depth = false, first = true;
  for (const PathElement &elem : path) {
    if (elem.name == "...") {
      any_depth = true;
      continue;
    }
    std::string name(strip_module_prefix(elem.name));
    if (name != "*" && !is_identifier(name))
      throw ModelError(ModelErrorKind::unknown_path, path_to_text(path), "no such element");
    out += any_depth ? "//" : "/";
    out += (first || any_depth) && name != "*" ? std::string(kModulePrefix) + name : name;
    any_depth = first = false;
    for (const auto &[key, value] : elem.keys) {
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
  // The elements after "..." may begin at any depth; the usual greedy match with one place to come back to.
  std::size_t p = 0, e = 0, resume_pattern = std::string::npos, resume_path = 0;
  while (p < pattern.size()) {
    if (pattern[p].name == "...") {
      resume_pattern = ++p, resume_path = e;
    } else if (e < path.size() && match(pattern[p], path[e])) {
      ++p, ++e;
    } else if (resume_pattern != std::string::npos && resume_path < path.size()) {
      p = resume_pattern, e = ++resume_path;
    } else {
      return false;
    }
  }
  return true;
}

} // namespace snowshore::model
