#include "model/path.h"

#include <algorithm>

namespace snowshore::model {

namespace {

constexpr std::size_t kMostElems = 64; // guards the walk over what a client sends
constexpr std::string_view kPrefix = "snowshore:";

bool identifier(std::string_view name) {
  auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  return !name.empty() && letter(name[0]) && std::all_of(name.begin(), name.end(), [&](char c) {
    return letter(c) || (c >= '0' && c <= '9') || c == '-' || c == '.';
  });
}

std::string_view plain(std::string_view name) {
  return name.starts_with(kPrefix) ? name.substr(kPrefix.size()) : name;
}

std::string literal(const std::string &value) {
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
  auto fault = [&](const char *why) {
    return Fault(FaultKind::unknown_path, "'" + std::string(text) + "'", why);
  };
  Path path;
  std::size_t at = 0;
  while (at < text.size()) {
    if (text[at] != '/') throw fault("an element begins with /");
    ++at;
    if (at == text.size()) break; // a / at the end names nothing more
    PathElem elem;
    while (at < text.size() && text[at] != '/' && text[at] != '[') elem.name += text[at++];
    while (at < text.size() && text[at] == '[') {
      std::string name, value;
      for (++at; at < text.size() && text[at] != '='; ++at) name += text[at];
      if (at == text.size()) throw fault("a key has the form [name=value]");
      for (++at; at < text.size() && text[at] != ']'; ++at) {
        if (text[at] == '\\' && ++at == text.size()) throw fault("a path ends within a key");
        value += text[at];
      }
      if (at++ >= text.size()) throw fault("a key is not closed by ]");
      if (!elem.keys.emplace(std::string(plain(name)), value).second) throw fault("a key stands twice");
    }
    elem.name = plain(elem.name);
    if (elem.name != "*" && elem.name != "..." && !identifier(elem.name))
      throw fault("an element has no name");
    path.push_back(std::move(elem));
    if (path.size() > kMostElems) throw fault("too many elements");
  }
  return path;
}

std::string text_of(const Path &path) {
  std::string out;
  for (const PathElem &elem : path) {
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
  return std::ranges::any_of(path, [](const PathElem &elem) {
    return elem.name == "*" || elem.name == "..." ||
           std::ranges::any_of(elem.keys, [](const auto &key) { return key.second == "*"; });
  });
}

std::string xpath_of(const Path &path) {
  if (path.size() > kMostElems) throw Fault(FaultKind::unknown_path, text_of(path), "too many elements");
  std::string out;
  bool any_depth = false, first = true;
  for (const PathElem &elem : path) {
    if (elem.name == "...") {
      any_depth = true;
      continue;
    }
    std::string name(plain(elem.name));
    if (name != "*" && !identifier(name))
      throw Fault(FaultKind::unknown_path, text_of(path), "no such element");
    out += any_depth ? "//" : "/";
    out += (first || any_depth) && name != "*" ? std::string(kPrefix) + name : name;
    any_depth = first = false;
    for (const auto &[key, value] : elem.keys) {
      if (!identifier(key)) throw Fault(FaultKind::unknown_path, text_of(path), "no such key");
      if (value != "*") out += "[" + key + "=" + literal(value) + "]";
    }
  }
  if (any_depth) out += "//*";
  return out.empty() ? "/*" : out;
}

bool covers(const Path &pattern, const Path &path) {
  auto match = [](const PathElem &p, const PathElem &e) {
    if (p.name != "*" && plain(p.name) != plain(e.name)) return false;
    return std::ranges::all_of(p.keys, [&](const auto &key) {
      auto it = e.keys.find(key.first);
      return it != e.keys.end() && (key.second == "*" || key.second == it->second);
    });
  };
  // The elements after "..." may begin at any depth; the usual greedy match with one place to come back to.
  std::size_t p = 0, e = 0, back_p = std::string::npos, back_e = 0;
  while (p < pattern.size()) {
    if (pattern[p].name == "...") {
      back_p = ++p, back_e = e;
    } else if (e < path.size() && match(pattern[p], path[e])) {
      ++p, ++e;
    } else if (back_p != std::string::npos && back_e < path.size()) {
      p = back_p, e = ++back_e;
    } else {
      return false;
    }
  }
  return true;
}

} // namespace snowshore::model
