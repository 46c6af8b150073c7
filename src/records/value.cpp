#include "records/value.h"

#include <re2/re2.h>

#include <algorithm>
#include <cmath>

namespace snowshore::records {

namespace {

using Kind = Value::Kind;

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

const char *sign(Relation relation) {
  switch (relation) {
  case Relation::at_least:
    return ">=";
  case Relation::more_than:
    return ">";
  case Relation::at_most:
    return "<=";
  case Relation::less_than:
    return "<";
  case Relation::not_equal:
    return "!=";
  case Relation::matches:
    return "=~";
  case Relation::matches_not:
    return "!~";
  }
  return "";
}

unsigned type_of(const Value &v) {
  switch (v.kind) {
  case Kind::null:
    return kNull;
  case Kind::boolean:
    return kBool;
  case Kind::number:
    return v.whole ? kInt : kFraction;
  case Kind::string:
    return kString;
  default:
    return 0;
  }
}

bool holds(const Value &v, const Bound &bound) {
  const Value &o = *bound.operand;
  bool numbers = v.kind == Kind::number && o.kind == Kind::number;
  bool strings = v.kind == Kind::string && o.kind == Kind::string;
  switch (bound.relation) {
  case Relation::not_equal:
    return !equal(v, o);
  case Relation::matches:
    return strings && RE2::PartialMatch(v.text, o.text);
  case Relation::matches_not:
    return strings && !RE2::PartialMatch(v.text, o.text);
  default:
    break;
  }
  if (!numbers && !strings) return false;
  int order = numbers ? (v.number < o.number ? -1 : v.number > o.number) : v.text.compare(o.text);
  switch (bound.relation) {
  case Relation::at_least:
    return order >= 0;
  case Relation::more_than:
    return order > 0;
  case Relation::at_most:
    return order <= 0;
  default:
    return order < 0;
  }
}

Ref bottom(const Place &place) {
  auto v = std::make_shared<Value>();
  v->kind = Kind::bottom;
  v->place = place;
  return v;
}

Ref clash(const Ref &a, const Ref &b, const std::string &path, Faults &faults) {
  // The later written of the two is what a user has in hand; the other says what was expected.
  const Ref &found = a->concrete() && !b->concrete() ? a : b;
  const Ref &wanted = found == a ? b : a;
  faults.push_back({found->place, path, describe(*wanted), describe(*found)});
  return bottom(found->place);
}

Ref meet_constraint(const Ref &constraint, const Ref &v, const std::string &path, Faults &faults) {
  if (v->kind == Kind::constraint) {
    auto both = std::make_shared<Value>(*constraint);
    both->types &= v->types;
    both->bounds.insert(both->bounds.end(), v->bounds.begin(), v->bounds.end());
    if (!both->types) return clash(constraint, v, path, faults);
    return both;
  }
  if (v->kind == Kind::list || v->kind == Kind::structure) {
    if (constraint->types == kAny && constraint->bounds.empty()) return v;
    return clash(constraint, v, path, faults);
  }
  bool fits = (type_of(*v) & constraint->types) != 0;
  for (const Bound &bound : constraint->bounds) fits = fits && holds(*v, bound);
  return fits ? v : clash(constraint, v, path, faults);
}

Ref meet_lists(const Ref &a, const Ref &b, const std::string &path, Faults &faults) {
  auto out = std::make_shared<Value>();
  out->kind = Kind::list;
  out->place = b->place;
  std::size_t size = std::max(a->items.size(), b->items.size());
  for (std::size_t i = 0; i < size; ++i) {
    const Ref &x = i < a->items.size() ? a->items[i] : a->rest;
    const Ref &y = i < b->items.size() ? b->items[i] : b->rest;
    std::string here = path + "[" + std::to_string(i) + "]";
    if (!x || !y) {
      const Value &longer = x ? *a : *b, &shorter = x ? *b : *a;
      faults.push_back({longer.items[i]->place, path, "a list of " + std::to_string(shorter.items.size()),
                        "a list of " + std::to_string(longer.items.size())});
      return bottom(b->place);
    }
    out->items.push_back(unify(x, y, here, faults));
  }
  if (a->rest && b->rest) out->rest = unify(a->rest, b->rest, path + "[...]", faults);
  return out;
}

void admit(const Value &to, const Value &from, const std::string &path, Faults &faults) {
  if (!to.closed || to.pattern) return;
  for (const auto &[name, field] : from.fields) {
    if (field.kind == FieldKind::regular && !to.fields.contains(name)) {
      std::string known;
      for (const auto &[other, unused] : to.fields) known += (known.empty() ? "" : ", ") + other;
      faults.push_back({field.value->place, join(path, name), "one of the fields " + known,
                        "the field " + name + ", which is not allowed"});
    }
  }
}

Ref meet_structures(const Ref &a, const Ref &b, const std::string &path, Faults &faults) {
  admit(*a, *b, path, faults);
  admit(*b, *a, path, faults);
  auto out = std::make_shared<Value>(*a);
  out->closed = a->closed || b->closed;
  out->open = a->open && b->open;
  out->place = b->place.line ? b->place : a->place;
  for (const auto &[name, theirs] : b->fields) {
    auto [it, added] = out->fields.try_emplace(name, theirs);
    if (added) continue;
    Field &ours = it->second;
    if (ours.kind == FieldKind::regular || theirs.kind == FieldKind::regular) {
      ours.kind = FieldKind::regular;
    } else if (theirs.kind == FieldKind::required) {
      ours.kind = FieldKind::required;
    }
    ours.value = unify(ours.value, theirs.value, join(path, name), faults);
  }
  if (b->pattern) out->pattern = a->pattern ? unify(a->pattern, b->pattern, path + ".*", faults) : b->pattern;
  if (out->pattern) {
    for (auto &[name, field] : out->fields)
      field.value = unify(out->pattern, field.value, join(path, name), faults);
  }
  return out;
}

Ref meet_choice(const Ref &choice, const Ref &v, const std::string &path, Faults &faults) {
  auto out = std::make_shared<Value>();
  out->kind = Kind::choice;
  out->place = v->place.line ? v->place : choice->place;
  auto keep = [&](Ref value, bool preferred) {
    for (Alternative &there : out->alternatives) {
      if (equal(*there.value, *value)) {
        there.preferred = there.preferred || preferred;
        return;
      }
    }
    out->alternatives.push_back({std::move(value), preferred});
  };
  bool v_has_default =
      v->kind == Kind::choice && std::ranges::any_of(v->alternatives, [](auto &a) { return a.preferred; });
  bool ours_has = std::ranges::any_of(choice->alternatives, [](auto &a) { return a.preferred; });
  Faults last;
  for (const Alternative &ours : choice->alternatives) {
    if (v->kind == Kind::choice) {
      for (const Alternative &theirs : v->alternatives) {
        Faults own;
        Ref both = unify(ours.value, theirs.value, path, own);
        bool preferred = (ours.preferred || !ours_has) && (theirs.preferred || !v_has_default);
        if (own.empty()) keep(both, preferred && (ours_has || v_has_default));
        last = std::move(own);
      }
      continue;
    }
    Faults own;
    Ref both = unify(ours.value, v, path, own);
    if (own.empty()) keep(both, ours.preferred);
    // A structure's own faults say more than "none of these".
    if (!own.empty() && (last.empty() || ours.value->kind == v->kind)) last = std::move(own);
  }
  if (out->alternatives.empty()) {
    if ((v->kind == Kind::structure || v->kind == Kind::list) && !last.empty()) {
      faults.insert(faults.end(), last.begin(), last.end());
      return bottom(v->place);
    }
    return clash(choice, v, path, faults);
  }
  if (out->alternatives.size() == 1) return out->alternatives[0].value;
  return out;
}

} // namespace

std::string join(const std::string &path, const std::string &name) {
  return path.empty() ? name : path + "." + name;
}

std::string Fault::text() const {
  std::string out = place.file;
  if (place.line) out += ":" + std::to_string(place.line) + ":" + std::to_string(place.column);
  if (!path.empty()) out += ": " + path;
  return out + ": expected " + expected + ", found " + found;
}

bool Value::concrete() const {
  return kind != Kind::constraint && kind != Kind::choice && kind != Kind::bottom;
}

bool equal(const Value &a, const Value &b) {
  if (a.kind != b.kind) return false;
  auto same = [](const Ref &x, const Ref &y) { return (!x && !y) || (x && y && equal(*x, *y)); };
  switch (a.kind) {
  case Kind::boolean:
    return a.flag == b.flag;
  case Kind::number:
    return a.number == b.number && a.whole == b.whole;
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
    return a.types == b.types && std::ranges::equal(a.bounds, b.bounds, [&](auto &x, auto &y) {
             return x.relation == y.relation && same(x.operand, y.operand);
           });
  case Kind::choice:
    return std::ranges::equal(a.alternatives, b.alternatives, [&](auto &x, auto &y) {
      return x.preferred == y.preferred && same(x.value, y.value);
    });
  default:
    return true;
  }
}

Ref unify(const Ref &a, const Ref &b, const std::string &path, Faults &faults) {
  if (a == b) return a;
  if (a->kind == Kind::bottom) return a; // its fault has been told
  if (b->kind == Kind::bottom) return b;
  if (a->kind == Kind::choice) return meet_choice(a, b, path, faults);
  if (b->kind == Kind::choice) return meet_choice(b, a, path, faults);
  if (a->kind == Kind::constraint) return meet_constraint(a, b, path, faults);
  if (b->kind == Kind::constraint) return meet_constraint(b, a, path, faults);
  if (a->kind != b->kind) return clash(a, b, path, faults);
  if (a->kind == Kind::list) return meet_lists(a, b, path, faults);
  if (a->kind == Kind::structure) return meet_structures(a, b, path, faults);
  return equal(*a, *b) ? b : clash(a, b, path, faults);
}

Ref close(const Ref &value) {
  auto out = std::make_shared<Value>(*value);
  if (out->kind == Kind::structure && !out->open) out->closed = true;
  for (Ref &item : out->items) item = close(item);
  if (out->rest) out->rest = close(out->rest);
  if (out->pattern) out->pattern = close(out->pattern);
  for (auto &[name, field] : out->fields) field.value = close(field.value);
  for (Alternative &one : out->alternatives) one.value = close(one.value);
  return out;
}

Ref settle(const Ref &value, const std::string &path, Faults &faults, const Place &within) {
  auto open = [&](const std::string &what) {
    // What is missing is missing in the struct that was written, not in the schema that asks for it.
    faults.push_back({within.line ? within : value->place, path, what, "nothing that settles it"});
    return bottom(value->place);
  };
  if (value->kind == Kind::constraint) return open(describe(*value));
  if (value->kind == Kind::choice) {
    std::vector<Ref> candidates;
    for (const Alternative &one : value->alternatives) {
      if (one.preferred) candidates.push_back(one.value);
    }
    if (candidates.size() != 1) return open(describe(*value));
    return settle(candidates[0], path, faults, within);
  }
  auto out = std::make_shared<Value>(*value);
  out->rest = out->pattern = nullptr;
  for (std::size_t i = 0; i < out->items.size(); ++i)
    out->items[i] = settle(out->items[i], path + "[" + std::to_string(i) + "]", faults, value->place);
  std::erase_if(out->fields, [](const auto &f) {
    return f.second.kind == FieldKind::optional || f.first.starts_with('#');
  });
  for (auto &[name, field] : out->fields) {
    std::string here = join(path, name);
    if (field.kind == FieldKind::required)
      faults.push_back({value->place, here, describe(*field.value), "no such field"});
    else
      field.value = settle(field.value, here, faults, value->place);
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
    return v.flag ? "true" : "false";
  case Kind::number:
    return v.text;
  case Kind::string:
    return quoted(v.text);
  case Kind::list:
    return "a list";
  case Kind::structure:
    return "a struct";
  case Kind::choice: {
    std::string out;
    for (const Alternative &one : v.alternatives)
      out += (out.empty() ? "" : " | ") + std::string(one.preferred ? "*" : "") + describe(*one.value);
    return out;
  }
  case Kind::constraint:
    break;
  }
  std::string out;
  constexpr std::pair<unsigned, const char *> kNames[] = {
      {kNumber, "number"}, {kInt, "int"}, {kFraction, "float"}, {kString, "string"}, {kBool, "bool"}};
  if (v.types == kAny) {
    if (v.bounds.empty()) out = "_";
  } else {
    for (const auto &[types, name] : kNames) {
      if (v.types == types) out = name;
    }
  }
  for (const Bound &bound : v.bounds)
    out += (out.empty() ? "" : " & ") + std::string(sign(bound.relation)) + describe(*bound.operand);
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
    for (const Ref &item : v.items) out += pad + "  " + render(*item, indent + 1) + ",\n";
    return out + pad + "]";
  }
  return describe(v);
}

} // namespace snowshore::records
