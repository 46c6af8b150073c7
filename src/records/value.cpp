#include "records/value.h"

#include <re2/re2.h>

#include <algorithm>
#include <cmath>

namespace snowshore::records {

namespace {

using Kind = Value::Kind;

// Writes the text as a string literal of a record file.
std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (unsigned char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\', out += static_cast<char>(c);
    } else if (c == '\n') {
      out += "\\n";
    } else if (c < 0x20) {
      constexpr char kHex[] = "0123456789abcdef";
      out += "\\u00", out += kHex[c >> 4], out += kHex[c & 15];
    } else {
      out += static_cast<char>(c);
    }
  }
  return out + "\"";
}

const char *operator_text(Relation relation) {
  switch (relation) {
  case Relation::greater_equal:
    return ">=";
  case Relation::greater:
    return ">";
  case Relation::less_equal:
    return "<=";
  case Relation::less:
    return "<";
  case Relation::not_equal:
    return "!=";
  case Relation::matches:
    return "=~";
  case Relation::not_matches:
    return "!~";
  }
  return "";
}

unsigned type_bit_of(const Value &v) {
  switch (v.kind) {
  case Kind::null:
    return kNull;
  case Kind::boolean:
    return kBool;
  case Kind::number:
    return v.is_int ? kInt : kFloat;
  case Kind::string:
    return kString;
  default:
    return 0;
  }
}

bool satisfies(const Value &v, const Bound &bound) {
  const Value &operand = *bound.operand;
  bool numbers = v.kind == Kind::number && operand.kind == Kind::number;
  bool strings = v.kind == Kind::string && operand.kind == Kind::string;
  switch (bound.relation) {
  case Relation::not_equal:
    return !equal(v, operand);
  case Relation::matches:
    return strings && RE2::PartialMatch(v.text, operand.text);
  case Relation::not_matches:
    return strings && !RE2::PartialMatch(v.text, operand.text);
  default:
    break;
  }
  if (!numbers && !strings) return false;
  int order =
      numbers ? (v.number < operand.number ? -1 : v.number > operand.number) : v.text.compare(operand.text);
  switch (bound.relation) {
  case Relation::greater_equal:
    return order >= 0;
  case Relation::greater:
    return order > 0;
  case Relation::less_equal:
    return order <= 0;
  default:
    return order < 0;
  }
}

ValuePtr bottom(const SourceLocation &location) {
  auto v = std::make_shared<Value>();
  v->kind = Kind::bottom;
  v->location = location;
  return v;
}

// Reports that a and b exclude each other, and returns bottom.
ValuePtr conflict(const ValuePtr &a, const ValuePtr &b, const std::string &path, Diagnostics &diagnostics) {
  // The concrete value, or else the second one, which is written later, is reported as found; the other value
  // describes what is expected.
  const ValuePtr &found = a->is_concrete() && !b->is_concrete() ? a : b;
  const ValuePtr &expected = found == a ? b : a;
  diagnostics.push_back({found->location, path, describe(*expected), describe(*found)});
  return bottom(found->location);
}

ValuePtr unify_constraint(const ValuePtr &constraint, const ValuePtr &v, const std::string &path,
                          Diagnostics &diagnostics) {
  if (v->kind == Kind::constraint) {
    auto result = std::make_shared<Value>(*constraint);
    result->type_mask &= v->type_mask;
    result->bounds.insert(result->bounds.end(), v->bounds.begin(), v->bounds.end());
    if (!result->type_mask) return conflict(constraint, v, path, diagnostics);
    return result;
  }
  if (v->kind == Kind::list || v->kind == Kind::structure) {
    if (constraint->type_mask == kAny && constraint->bounds.empty()) return v;
    return conflict(constraint, v, path, diagnostics);
  }
  bool matches = (type_bit_of(*v) & constraint->type_mask) != 0;
  for (const Bound &bound : constraint->bounds) matches = matches && satisfies(*v, bound);
  return matches ? v : conflict(constraint, v, path, diagnostics);
}

ValuePtr unify_lists(const ValuePtr &a, const ValuePtr &b, const std::string &path,
                     Diagnostics &diagnostics) {
  auto out = std::make_shared<Value>();
  out->kind = Kind::list;
  out->location = b->location;
  std::size_t size = std::max(a->items.size(), b->items.size());
  for (std::size_t i = 0; i < size; ++i) {
    const ValuePtr &x = i < a->items.size() ? a->items[i] : a->rest;
    const ValuePtr &y = i < b->items.size() ? b->items[i] : b->rest;
    std::string item_path = path + "[" + std::to_string(i) + "]";
    if (!x || !y) {
      const Value &longer = x ? *a : *b, &shorter = x ? *b : *a;
      diagnostics.push_back({longer.items[i]->location, path,
                             "a list of " + std::to_string(shorter.items.size()),
                             "a list of " + std::to_string(longer.items.size())});
      return bottom(b->location);
    }
    out->items.push_back(unify(x, y, item_path, diagnostics));
  }
  if (a->rest && b->rest) out->rest = unify(a->rest, b->rest, path + "[...]", diagnostics);
  return out;
}

// Reports the regular fields of `from` that the closed struct `to` does not have.
void check_closed(const Value &to, const Value &from, const std::string &path, Diagnostics &diagnostics) {
  if (!to.closed || to.pattern) return;
  for (const auto &[name, field] : from.fields) {
    if (field.kind == FieldKind::regular && !to.fields.contains(name)) {
      std::string allowed;
      for (const auto &[other, unused] : to.fields) allowed += (allowed.empty() ? "" : ", ") + other;
      diagnostics.push_back({field.value->location, join_path(path, name), "one of the fields " + allowed,
                             "the field " + name + ", which is not allowed"});
    }
  }
}

ValuePtr unify_structures(const ValuePtr &a, const ValuePtr &b, const std::string &path,
                          Diagnostics &diagnostics) {
  check_closed(*a, *b, path, diagnostics);
  check_closed(*b, *a, path, diagnostics);
  auto out = std::make_shared<Value>(*a);
  out->closed = a->closed || b->closed;
  out->open = a->open && b->open;
  out->location = b->location.line ? b->location : a->location;
  for (const auto &[name, other] : b->fields) {
    auto [it, added] = out->fields.try_emplace(name, other);
    if (added) continue;
    Field &field = it->second;
    if (field.kind == FieldKind::regular || other.kind == FieldKind::regular) {
      field.kind = FieldKind::regular;
    } else if (other.kind == FieldKind::required) {
      field.kind = FieldKind::required;
    }
    field.value = unify(field.value, other.value, join_path(path, name), diagnostics);
  }
  if (b->pattern)
    out->pattern = a->pattern ? unify(a->pattern, b->pattern, path + ".*", diagnostics) : b->pattern;
  if (out->pattern) {
    for (auto &[name, field] : out->fields)
      field.value = unify(out->pattern, field.value, join_path(path, name), diagnostics);
  }
  return out;
}

ValuePtr unify_disjunction(const ValuePtr &disjunction, const ValuePtr &v, const std::string &path,
                           Diagnostics &diagnostics) {
  auto out = std::make_shared<Value>();
  out->kind = Kind::disjunction;
  out->location = v->location.line ? v->location : disjunction->location;
  auto add_disjunct = [&](ValuePtr value, bool is_default) {
    for (Disjunct &existing : out->disjuncts) {
      if (equal(*existing.value, *value)) {
        existing.is_default = existing.is_default || is_default;
        return;
      }
    }
    out->disjuncts.push_back({std::move(value), is_default});
  };
  bool v_has_default =
      v->kind == Kind::disjunction && std::ranges::any_of(v->disjuncts, [](auto &a) { return a.is_default; });
  bool disjunction_has_default =
      std::ranges::any_of(disjunction->disjuncts, [](auto &a) { return a.is_default; });
  Diagnostics last_failure;
  for (const Disjunct &disjunct : disjunction->disjuncts) {
    if (v->kind == Kind::disjunction) {
      for (const Disjunct &other : v->disjuncts) {
        Diagnostics attempt;
        ValuePtr result = unify(disjunct.value, other.value, path, attempt);
        bool is_default =
            (disjunct.is_default || !disjunction_has_default) && (other.is_default || !v_has_default);
        if (attempt.empty()) add_disjunct(result, is_default && (disjunction_has_default || v_has_default));
        last_failure = std::move(attempt);
      }
      continue;
    }
    Diagnostics attempt;
    ValuePtr result = unify(disjunct.value, v, path, attempt);
    if (attempt.empty()) add_disjunct(result, disjunct.is_default);
    // The diagnostics within a struct tell more than a list of the alternatives.
    if (!attempt.empty() && (last_failure.empty() || disjunct.value->kind == v->kind))
      last_failure = std::move(attempt);
  }
  if (out->disjuncts.empty()) {
    if ((v->kind == Kind::structure || v->kind == Kind::list) && !last_failure.empty()) {
      diagnostics.insert(diagnostics.end(), last_failure.begin(), last_failure.end());
      return bottom(v->location);
    }
    return conflict(disjunction, v, path, diagnostics);
  }
  if (out->disjuncts.size() == 1) return out->disjuncts[0].value;
  return out;
}

} // namespace

std::string join_path(const std::string &path, const std::string &name) {
  return path.empty() ? name : path + "." + name;
}

std::string Diagnostic::text() const {
  std::string out = location.file;
  if (location.line) out += ":" + std::to_string(location.line) + ":" + std::to_string(location.column);
  if (!path.empty()) out += ": " + path;
  return out + ": expected " + expected + ", found " + found;
}

bool Value::is_concrete() const {
  return kind != Kind::constraint && kind != Kind::disjunction && kind != Kind::bottom;
}

bool equal(const Value &a, const Value &b) {
  if (a.kind != b.kind) return false;
  auto same = [](const ValuePtr &x, const ValuePtr &y) { return (!x && !y) || (x && y && equal(*x, *y)); };
  switch (a.kind) {
  case Kind::boolean:
    return a.boolean == b.boolean;
  case Kind::number:
    return a.number == b.number && a.is_int == b.is_int;
  case Kind::string:
    return a.text == b.text;
  case Kind::list:
    return std::ranges::equal(a.items, b.items, same) && same(a.rest, b.rest);
  case Kind::structure:
    return a.closed == b.closed && same(a.pattern, b.pattern) &&
           std::ranges::equal(a.fields, b.fields, [&](auto &x, auto &y) {
             return x.first == y.first && x.second.kind == y.second.kind &&
                    same(x.second.value, y.second.value);
           });
  case Kind::constraint:
    return a.type_mask == b.type_mask && std::ranges::equal(a.bounds, b.bounds, [&](auto &x, auto &y) {
             return x.relation == y.relation && same(x.operand, y.operand);
           });
  case Kind::disjunction:
    return std::ranges::equal(a.disjuncts, b.disjuncts, [&](auto &x, auto &y) {
      return x.is_default == y.is_default && same(x.value, y.value);
    });
  default:
    return true;
  }
}

ValuePtr unify(const ValuePtr &a, const ValuePtr &b, const std::string &path, Diagnostics &diagnostics) {
  if (a == b) return a;
  if (a->kind == Kind::bottom) return a; // The conflict that led to bottom is reported already.
  if (b->kind == Kind::bottom) return b;
  if (a->kind == Kind::disjunction) return unify_disjunction(a, b, path, diagnostics);
  if (b->kind == Kind::disjunction) return unify_disjunction(b, a, path, diagnostics);
  if (a->kind == Kind::constraint) return unify_constraint(a, b, path, diagnostics);
  if (b->kind == Kind::constraint) return unify_constraint(b, a, path, diagnostics);
  if (a->kind != b->kind) return conflict(a, b, path, diagnostics);
  if (a->kind == Kind::list) return unify_lists(a, b, path, diagnostics);
  if (a->kind == Kind::structure) return unify_structures(a, b, path, diagnostics);
  return equal(*a, *b) ? b : conflict(a, b, path, diagnostics);
}

ValuePtr close(const ValuePtr &value) {
  auto out = std::make_shared<Value>(*value);
  if (out->kind == Kind::structure && !out->open) out->closed = true;
  for (ValuePtr &item : out->items) item = close(item);
  if (out->rest) out->rest = close(out->rest);
  if (out->pattern) out->pattern = close(out->pattern);
  for (auto &[name, field] : out->fields) field.value = close(field.value);
  for (Disjunct &one : out->disjuncts) one.value = close(one.value);
  return out;
}

ValuePtr make_concrete(const ValuePtr &value, const std::string &path, Diagnostics &diagnostics,
                       const SourceLocation &within) {
  auto report = [&](const std::string &expected) {
    // The location is the struct that lacks the value; the value itself is located in the schema.
    diagnostics.push_back({within.line ? within : value->location, path, expected, "no concrete value"});
    return bottom(value->location);
  };
  if (value->kind == Kind::constraint) return report(describe(*value));
  if (value->kind == Kind::disjunction) {
    std::vector<ValuePtr> candidates;
    for (const Disjunct &disjunct : value->disjuncts) {
      if (disjunct.is_default) candidates.push_back(disjunct.value);
    }
    if (candidates.size() != 1) return report(describe(*value));
    return make_concrete(candidates[0], path, diagnostics, within);
  }
  auto out = std::make_shared<Value>(*value);
  out->rest = out->pattern = nullptr;
  for (std::size_t i = 0; i < out->items.size(); ++i)
    out->items[i] =
        make_concrete(out->items[i], path + "[" + std::to_string(i) + "]", diagnostics, value->location);
  std::erase_if(out->fields, [](const auto &f) {
    return f.second.kind == FieldKind::optional || f.first.starts_with('#');
  });
  for (auto &[name, field] : out->fields) {
    std::string field_path = join_path(path, name);
    if (field.kind == FieldKind::required)
      diagnostics.push_back({value->location, field_path, describe(*field.value), "no such field"});
    else
      field.value = make_concrete(field.value, field_path, diagnostics, value->location);
  }
  return out;
}

std::string describe(const Value &v) {
  switch (v.kind) {
  case Kind::bottom:
    return "an error";
  case Kind::null:
    return "null";
  case Kind::boolean:
    return v.boolean ? "true" : "false";
  case Kind::number:
    return v.text;
  case Kind::string:
    return quoted(v.text);
  case Kind::list:
    return "a list";
  case Kind::structure:
    return "a struct";
  case Kind::disjunction: {
    std::string out;
    for (const Disjunct &one : v.disjuncts)
      out += (out.empty() ? "" : " | ") + std::string(one.is_default ? "*" : "") + describe(*one.value);
    return out;
  }
  case Kind::constraint:
    break;
  }
  std::string out;
  constexpr std::pair<unsigned, const char *> kNames[] = {
      {kNumber, "number"}, {kInt, "int"}, {kFloat, "float"}, {kString, "string"}, {kBool, "bool"}};
  if (v.type_mask == kAny) {
    if (v.bounds.empty()) out = "_";
  } else {
    for (const auto &[type_mask, name] : kNames) {
      if (v.type_mask == type_mask) out = name;
    }
  }
  for (const Bound &bound : v.bounds)
    out += (out.empty() ? "" : " & ") + std::string(operator_text(bound.relation)) + describe(*bound.operand);
  return out;
}

std::string render(const Value &v, int indent) {
  std::string pad(static_cast<std::size_t>(indent) * 2, ' ');
  if (v.kind == Kind::structure) {
    std::string out = "{\n";
    for (const auto &[name, field] : v.fields)
      out += pad + "  " + (RE2::FullMatch(name, "[A-Za-z_][A-Za-z0-9_]*") ? name : quoted(name)) + ": " +
             render(*field.value, indent + 1) + "\n";
    return out + pad + "}";
  }
  if (v.kind == Kind::list) {
    if (v.items.empty()) return "[]";
    std::string out = "[\n";
    for (const ValuePtr &item : v.items) out += pad + "  " + render(*item, indent + 1) + ",\n";
    return out + pad + "]";
  }
  return describe(v);
}

} // namespace snowshore::records
