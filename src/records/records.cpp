#include "records/records.h"
#include "records/grammar.h"

#include <re2/re2.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace snowshore::records {

namespace {

namespace g = grammar;
using Node = tao::pegtl::parse_tree::node;
using Kind = Value::Kind;

// Limits nested brackets plus the labels before a value ("a: b: c:").
constexpr std::size_t kMaxNesting = 64;
constexpr std::size_t kMaxFileBytes = 16 << 20;
constexpr std::size_t kMaxDisjuncts = 256;

std::string join_lines(const Diagnostics &diagnostics) {
  std::string out;
  for (const Diagnostic &diagnostic : diagnostics) out += (out.empty() ? "" : "\n") + diagnostic.text();
  return out;
}

[[noreturn]] void throw_error(SourceLocation location, std::string path, std::string expected,
                              std::string found) {
  throw RecordError(
      Diagnostics{{std::move(location), std::move(path), std::move(expected), std::move(found)}});
}

// Rejects files that are too large or nested too deeply. The parser and the evaluator recurse, so this check
// runs before parsing and bounds the stack that they use.
void check_nesting(const Source &source) {
  if (source.text.size() > kMaxFileBytes)
    throw_error({source.name}, "", "a file of at most " + std::to_string(kMaxFileBytes) + " bytes",
                std::to_string(source.text.size()));
  std::size_t depth = 0, labels = 0, line = 1, line_start = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < source.text.size(); ++i) {
    char c = source.text[i];
    if (c == '\n') {
      ++line;
      line_start = i + 1;
      labels = 0;
      in_string = false;
    }
    if (in_string && c == '\\') ++i;
    if (c == '"') in_string = !in_string;
    if (in_string) continue;
    if (c == '/' && i + 1 < source.text.size() && source.text[i + 1] == '/') {
      while (i + 1 < source.text.size() && source.text[i + 1] != '\n') ++i;
      continue;
    }
    if (c == '{' || c == '[' || c == '(') {
      ++depth;
      labels = 0;
    }
    if ((c == '}' || c == ']' || c == ')') && depth) --depth;
    if (c == ',') labels = 0;
    if (c == ':') ++labels;
    if (depth + labels > kMaxNesting)
      throw_error({source.name, line, i - line_start + 1}, "",
                  "nesting of at most " + std::to_string(kMaxNesting) + " levels", "more");
  }
}

// Parses sources and evaluates their top-level fields and definitions.
class Evaluator {
 public:
  // Throws RecordError at the first syntax error.
  void add(const Source &source, bool is_schema) {
    check_nesting(source);
    auto input = std::make_unique<tao::pegtl::memory_input<>>(source.text, source.name);
    std::unique_ptr<Node> tree;
    try {
      tree = tao::pegtl::parse_tree::parse<g::File, g::Kept>(*input);
    } catch (const tao::pegtl::parse_error &error) {
      const auto &at = error.positions().front();
      std::string rest(source.text.substr(std::min(at.byte, source.text.size()), 24));
      rest = rest.substr(0, rest.find('\n'));
      throw_error({source.name, at.line, at.column}, "", expected_at(error),
                  rest.empty() ? "the end" : "'" + rest + "'");
    }
    for (const auto &node : tree->children) {
      const Node &body = *node; // a Body, or the Struct of a file in braces
      for (const auto &member : body.children) declare(*member, is_schema);
    }
    trees_.push_back(std::move(tree));
    inputs_.push_back(std::move(input));
  }

  // Returns a struct of the top-level fields, without the definitions, that the schema (of_schema) or the
  // other sources declare.
  ValuePtr evaluate_top_level(bool of_schema, Diagnostics &diagnostics) {
    auto out = std::make_shared<Value>();
    out->kind = Kind::structure;
    for (const auto &[name, declarations] : declarations_) {
      if (name.starts_with('#')) continue;
      ValuePtr value;
      FieldKind kind = FieldKind::optional;
      for (const Declaration &declaration : declarations) {
        if (declaration.is_schema != of_schema) continue;
        ValuePtr next = field_value(*declaration.node, name, diagnostics);
        if (declaration.kind == FieldKind::regular) kind = FieldKind::regular;
        value = value ? unify(value, next, name, diagnostics) : next;
      }
      if (value) out->fields[name] = {value, kind};
    }
    return out;
  }

  // Returns the value of a top-level field or definition, evaluated at its first use. `from` is the location
  // of the reference.
  ValuePtr evaluate_reference(const std::string &name, const SourceLocation &from, Diagnostics &diagnostics) {
    if (auto cached = evaluated_.find(name); cached != evaluated_.end()) return cached->second;
    auto it = declarations_.find(name);
    if (it == declarations_.end()) throw_error(from, "", "a name declared at the top level of a file", name);
    if (!in_progress_.insert(name).second) throw_error(from, "", "no circular reference", name);
    ValuePtr value;
    for (const Declaration &declaration : it->second) {
      ValuePtr next = field_value(*declaration.node, name, diagnostics);
      value = value ? unify(value, next, name, diagnostics) : next;
    }
    in_progress_.erase(name);
    if (name.starts_with('#')) value = close(value);
    return evaluated_[name] = value;
  }

 private:
  struct Declaration {
    const Node *node; // FieldRule
    bool is_schema;
    FieldKind kind;
  };

  // Derives what the parser expected from the message of PEGTL, which names the rule or character that did
  // not match: "parse error matching ...::Rule". Characters appear quoted or as their codes.
  static std::string expected_at(const tao::pegtl::parse_error &error) {
    std::string rule(error.message());
    auto mentions = [&](std::string_view part) { return rule.find(part) != std::string::npos; };
    if (mentions("::eof")) return "a field, or the end";
    if (mentions("one<'}'>") || mentions("'}'") || mentions("125")) return "a field or '}'";
    if (mentions("']'") || mentions("93")) return "an item or ']'";
    if (mentions("')'") || mentions("41")) return "')'";
    if (mentions("'\"'") || mentions("34")) return "the string's closing quote";
    return "a value";
  }

  static SourceLocation location_of(const Node &node) {
    auto at = node.begin();
    return {at.source, at.line, at.column};
  }

  // Decodes a string literal into UTF-8.
  static std::string unescape(const Node &node) {
    std::string_view raw = node.string_view();
    raw.remove_prefix(1);
    raw.remove_suffix(1);
    std::string out;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] != '\\') {
        out += raw[i];
        continue;
      }
      char c = raw[++i];
      constexpr std::string_view kFrom = "ntrabfv", kTo = "\n\t\r\a\b\f\v";
      if (auto k = kFrom.find(c); k != std::string_view::npos) {
        out += kTo[k];
      } else if (c == 'u' || c == 'U') {
        std::size_t digits = c == 'u' ? 4 : 8;
        unsigned code = 0;
        std::from_chars(raw.data() + i + 1, raw.data() + i + 1 + digits, code, 16);
        i += digits;
        if (code > 0x10ffff || (code >= 0xd800 && code < 0xe000))
          throw_error(location_of(node), "", "a Unicode character", std::string(node.string_view()));
        if (code < 0x80) {
          out += static_cast<char>(code);
        } else if (code < 0x800) {
          out += static_cast<char>(0xc0 | code >> 6), out += static_cast<char>(0x80 | (code & 63));
        } else if (code < 0x10000) {
          out += static_cast<char>(0xe0 | code >> 12), out += static_cast<char>(0x80 | (code >> 6 & 63));
          out += static_cast<char>(0x80 | (code & 63));
        } else {
          out += static_cast<char>(0xf0 | code >> 18), out += static_cast<char>(0x80 | (code >> 12 & 63));
          out += static_cast<char>(0x80 | (code >> 6 & 63)), out += static_cast<char>(0x80 | (code & 63));
        }
      } else {
        out += c;
      }
    }
    return out;
  }

  static std::string field_name(const Node &field) {
    const Node &inner = *field.children[0]->children[0];
    return inner.is_type<g::Text>() ? unescape(inner) : std::string(inner.string_view());
  }

  static FieldKind field_kind(const Node &field) {
    if (!field.children[1]->is_type<g::Mark>()) return FieldKind::regular;
    return field.children[1]->string_view() == "?" ? FieldKind::optional : FieldKind::required;
  }

  void declare(const Node &member, bool is_schema) {
    if (!member.is_type<g::FieldRule>())
      throw_error(location_of(member), "", "a field at the top level",
                  std::string(member.string_view().substr(0, 24)));
    declarations_[field_name(member)].push_back({&member, is_schema, field_kind(member)});
  }

  // Evaluates what follows a label: an expression, another label as in "a: b: c", or "[string]: c".
  ValuePtr field_value(const Node &field, const std::string &path, Diagnostics &diagnostics) {
    const Node &value = *field.children.back();
    if (!value.is_type<g::FieldRule>() && !value.is_type<g::Pattern>())
      return evaluate_node(value, path, diagnostics);
    auto out = std::make_shared<Value>();
    out->kind = Kind::structure;
    out->location = location_of(value);
    if (value.is_type<g::Pattern>()) {
      out->pattern = evaluate_node(*value.children[0], join_path(path, "[string]"), diagnostics);
      return out;
    }
    add_field(*out, value, path, diagnostics);
    return out;
  }

  // Adds a field to a struct, or unifies it with the field of the same name.
  void add_field(Value &into, const Node &field, const std::string &path, Diagnostics &diagnostics) {
    std::string name = field_name(field), child_path = join_path(path, name);
    Field next{field_value(field, child_path, diagnostics), field_kind(field)};
    auto [it, added] = into.fields.try_emplace(name, next);
    if (added) return;
    if (next.kind == FieldKind::regular) it->second.kind = FieldKind::regular;
    it->second.value = unify(it->second.value, next.value, child_path, diagnostics);
  }

  ValuePtr evaluate_node(const Node &node, const std::string &path, Diagnostics &diagnostics) {
    auto out = std::make_shared<Value>();
    out->location = location_of(node);
    if (node.is_type<g::Expression>()) {
      if (node.children.size() == 1 && !node.children[0]->children[0]->is_type<g::Preferred>())
        return evaluate_node(*node.children[0], path, diagnostics);
      if (node.children.size() > kMaxDisjuncts)
        throw_error(out->location, path, std::to_string(kMaxDisjuncts) + " alternatives or fewer", "more");
      out->kind = Kind::disjunction;
      for (const auto &child : node.children)
        out->disjuncts.push_back(
            {evaluate_node(*child, path, diagnostics), child->children[0]->is_type<g::Preferred>()});
      return out;
    }
    if (node.is_type<g::AlternativeRule>() || node.is_type<g::Group>())
      return evaluate_node(*node.children.back(), path, diagnostics);
    if (node.is_type<g::Conjunction>()) {
      ValuePtr value = evaluate_node(*node.children[0], path, diagnostics);
      for (std::size_t i = 1; i < node.children.size(); ++i)
        value = unify(value, evaluate_node(*node.children[i], path, diagnostics), path, diagnostics);
      return value;
    }
    if (node.is_type<g::BoundRule>()) return evaluate_bound(node, std::move(out), path, diagnostics);
    if (node.is_type<g::Text>()) {
      out->kind = Kind::string;
      out->text = unescape(node);
      return out;
    }
    if (node.is_type<g::Number>()) return evaluate_number(node, std::move(out), path);
    if (node.is_type<g::Struct>()) {
      out->kind = Kind::structure;
      for (const auto &member : node.children) {
        if (member->is_type<g::FieldRule>()) add_field(*out, *member, path, diagnostics);
        if (member->is_type<g::Ellipsis>()) out->open = true;
        if (member->is_type<g::Pattern>())
          out->pattern = evaluate_node(*member->children[0], join_path(path, "[string]"), diagnostics);
      }
      if (out->pattern) {
        for (auto &[name, field] : out->fields)
          field.value = unify(out->pattern, field.value, join_path(path, name), diagnostics);
      }
      return out;
    }
    if (node.is_type<g::List>()) {
      out->kind = Kind::list;
      for (const auto &item : node.children) {
        std::string child_path = path + "[" + std::to_string(out->items.size()) + "]";
        if (out->rest)
          throw_error(location_of(*item), path, "... as the last item of a list",
                      std::string(item->string_view()));
        if (!item->is_type<g::Rest>()) {
          out->items.push_back(evaluate_node(*item, child_path, diagnostics));
        } else {
          out->rest = item->children.empty() ? std::make_shared<Value>()
                                             : evaluate_node(*item->children[0], child_path, diagnostics);
        }
      }
      return out;
    }
    return evaluate_name(node, std::move(out), path, diagnostics);
  }

  ValuePtr evaluate_bound(const Node &node, std::shared_ptr<Value> out, const std::string &path,
                          Diagnostics &diagnostics) {
    constexpr std::pair<std::string_view, Relation> kOperators[] = {
        {">=", Relation::greater_equal}, {">", Relation::greater},    {"<=", Relation::less_equal},
        {"<", Relation::less},           {"!=", Relation::not_equal}, {"=~", Relation::matches},
        {"!~", Relation::not_matches}};
    std::string_view sign = node.children[0]->string_view();
    ValuePtr operand = evaluate_node(*node.children[1], path, diagnostics);
    for (const auto &[text, relation] : kOperators) {
      if (text == sign) out->bounds.push_back({relation, operand});
    }
    bool is_pattern = sign == "=~" || sign == "!~";
    if (operand->kind == Kind::number) {
      out->type_mask = kNumber;
    } else if (operand->kind == Kind::string) {
      out->type_mask = kString;
    } else {
      throw_error(out->location, path, "a number or a string after " + std::string(sign), describe(*operand));
    }
    if (sign == "!=") out->type_mask = kAny;
    if (is_pattern && operand->kind != Kind::string)
      throw_error(out->location, path, "a pattern", describe(*operand));
    if (is_pattern && !RE2(operand->text, RE2::Quiet).ok())
      throw_error(out->location, path, "a regular expression", describe(*operand));
    return out;
  }

  ValuePtr evaluate_number(const Node &node, std::shared_ptr<Value> out, const std::string &path) {
    out->kind = Kind::number;
    out->text = node.string();
    out->is_int = out->text.find_first_of(".eE") == std::string::npos;
    auto [end, error] = std::from_chars(out->text.data(), out->text.data() + out->text.size(), out->number);
    if (error != std::errc() || !std::isfinite(out->number))
      throw_error(out->location, path, "a number within a double's range", out->text);
    if (out->is_int && std::fabs(out->number) > 9007199254740992.0)
      throw_error(out->location, path, "an int of at most 53 bits", out->text);
    return out;
  }

  // Evaluates a name: a type, a literal, or a reference to a top-level name and its fields.
  ValuePtr evaluate_name(const Node &node, std::shared_ptr<Value> out, const std::string &path,
                         Diagnostics &diagnostics) {
    std::string first(node.children[0]->string_view());
    constexpr std::pair<std::string_view, unsigned> kTypes[] = {{"int", kInt},     {"number", kNumber},
                                                                {"float", kFloat}, {"string", kString},
                                                                {"bool", kBool},   {"_", kAny}};
    if (node.children.size() == 1) {
      for (const auto &[name, type_mask] : kTypes) {
        if (name == first) {
          out->type_mask = type_mask;
          return out;
        }
      }
      if (first == "null" || first == "true" || first == "false") {
        out->kind = first == "null" ? Kind::null : Kind::boolean;
        out->boolean = first == "true";
        return out;
      }
    }
    ValuePtr value = evaluate_reference(first, out->location, diagnostics);
    for (std::size_t i = 1; i < node.children.size(); ++i) {
      auto it = value->fields.find(node.children[i]->string_view());
      if (it == value->fields.end())
        throw_error(location_of(*node.children[i]), path, "a field of " + first,
                    std::string(node.string_view()));
      value = it->second.value;
    }
    return value;
  }

  std::map<std::string, std::vector<Declaration>, std::less<>> declarations_;
  std::map<std::string, ValuePtr, std::less<>> evaluated_;
  std::set<std::string, std::less<>> in_progress_;
  std::vector<std::unique_ptr<tao::pegtl::memory_input<>>> inputs_;
  std::vector<std::unique_ptr<Node>> trees_;
};

// A unit and its factor to the base unit (seconds, or kilobytes per second).
struct Unit {
  std::string_view name;
  double factor;
};

// Parses a number of at least 0 with a unit. Returns NaN for any other text.
double parse_quantity(std::string_view text, std::span<const Unit> units) {
  double value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  std::string_view rest(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (error != std::errc() || value < 0 || !std::isfinite(value))
    return std::numeric_limits<double>::quiet_NaN();
  for (const Unit &unit : units) {
    if (unit.name == rest) return value * unit.factor;
  }
  return std::numeric_limits<double>::quiet_NaN();
}

} // namespace

double parse_seconds(std::string_view text) {
  constexpr Unit kUnits[] = {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}};
  return parse_quantity(text, kUnits);
}

double parse_rate(std::string_view text) {
  constexpr Unit kUnits[] = {{"kB/s", 1}, {"MB/s", 1000}, {"kbit/s", 0.125}, {"Mbit/s", 125}};
  return parse_quantity(text, kUnits);
}

RecordError::RecordError(Diagnostics all)
    : std::runtime_error(join_lines(all)), diagnostics(std::move(all)) {}

Source load_file(const std::string &name) {
  std::ifstream file(name, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    if (file && file.peek() == std::ifstream::traits_type::eof()) return {name, ""};
    throw_error({name}, "", "a readable file", "none");
  }
  return {name, text.str()};
}

void replace_file(const std::string &name, const std::string &text) {
  std::ofstream out(name + ".new");
  out << text;
  out.close();
  if (!out || std::rename((name + ".new").c_str(), name.c_str()) != 0)
    throw std::runtime_error("cannot write " + name);
}

ValuePtr evaluate(std::span<const Source> files) {
  Evaluator evaluator;
  for (const Source &file : files) evaluator.add(file, false);
  Diagnostics diagnostics;
  ValuePtr value = evaluator.evaluate_top_level(false, diagnostics);
  if (!diagnostics.empty()) throw RecordError(std::move(diagnostics));
  return value;
}

Record read(std::span<const Source> files, const Source &schema, std::string_view definition) {
  Evaluator evaluator;
  evaluator.add(schema, true);
  Diagnostics diagnostics;
  // All files are parsed even if one has a syntax error, so that the errors of all are reported.
  for (const Source &file : files) {
    try {
      evaluator.add(file, false);
    } catch (const RecordError &error) {
      diagnostics.insert(diagnostics.end(), error.diagnostics.begin(), error.diagnostics.end());
    }
  }
  if (!diagnostics.empty()) throw RecordError(std::move(diagnostics));
  ValuePtr schema_value = evaluator.evaluate_reference(std::string(definition), {schema.name}, diagnostics);
  auto body = std::make_shared<Value>(*evaluator.evaluate_top_level(false, diagnostics));
  body->location = {files.empty() ? schema.name : files.front().name, 1, 1};
  ValuePtr value = unify(schema_value, body, "", diagnostics);
  value = make_concrete(value, "", diagnostics);
  if (!diagnostics.empty()) throw RecordError(std::move(diagnostics));
  return Record(value, "");
}

void Record::throw_mismatch(const std::string &path, const std::string &expected,
                            const std::string &found) const {
  throw_error(value_ ? value_->location : SourceLocation{}, path, expected, found);
}

bool Record::has(std::string_view name) const { return value_ && value_->fields.contains(name); }

Record Record::at(std::string_view name) const {
  std::string path = join_path(path_, std::string(name));
  auto it = value_ ? value_->fields.find(name) : decltype(value_->fields.begin()){};
  if (!value_ || it == value_->fields.end()) throw_mismatch(path, "a value", "none");
  return Record(it->second.value, path);
}

const Value &Record::field(std::string_view name, Value::Kind kind, const char *expected) const {
  Record one = at(name);
  if (one.value_->kind != kind) one.throw_mismatch(one.path_, expected, describe(*one.value_));
  return *value_->fields.find(name)->second.value;
}

double Record::number(std::string_view name) const { return at(name).as_number(); }
double Record::as_number() const {
  if (value_->kind != Kind::number) throw_mismatch(path_, "a number", describe(*value_));
  return value_->number;
}

int Record::integer(std::string_view name) const {
  double value = number(name);
  if (value != std::floor(value) || std::fabs(value) > std::numeric_limits<int>::max())
    at(name).throw_mismatch(join_path(path_, std::string(name)), "an integer of at most 31 bits",
                            describe(*at(name).value_));
  return static_cast<int>(value);
}

bool Record::boolean(std::string_view name) const {
  return field(name, Kind::boolean, "true or false").boolean;
}
std::string Record::text(std::string_view name) const { return at(name).as_text(); }
std::string Record::as_text() const {
  if (value_->kind != Kind::string) throw_mismatch(path_, "a string", describe(*value_));
  return value_->text;
}

double Record::seconds(std::string_view name) const {
  double value = parse_seconds(text(name));
  if (std::isnan(value))
    at(name).throw_mismatch(join_path(path_, std::string(name)), "a duration such as \"800ms\"",
                            describe(*at(name).value_));
  return value;
}

double Record::rate(std::string_view name) const { return at(name).as_rate(); }
double Record::as_rate() const {
  double value = parse_rate(as_text());
  if (std::isnan(value)) throw_mismatch(path_, "a rate such as \"450kB/s\"", describe(*value_));
  return value;
}

std::vector<Record> Record::items(std::string_view name) const {
  const Value &list = field(name, Kind::list, "a list");
  std::vector<Record> out;
  for (const ValuePtr &item : list.items)
    out.emplace_back(item, join_path(path_, std::string(name)) + "[" + std::to_string(out.size()) + "]");
  return out;
}

std::vector<double> Record::numbers(std::string_view name) const {
  std::vector<double> out;
  for (const Record &item : items(name)) out.push_back(item.as_number());
  return out;
}

std::vector<std::pair<std::string, Record>> Record::fields() const {
  std::vector<std::pair<std::string, Record>> out;
  for (const auto &[name, field] : value_->fields)
    out.emplace_back(name, Record(field.value, join_path(path_, name)));
  return out;
}

} // namespace snowshore::records
