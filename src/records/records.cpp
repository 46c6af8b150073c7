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

constexpr std::size_t kDeepest = 64;       // brackets and labels within each other
constexpr std::size_t kLargest = 16 << 20; // bytes of a file
constexpr std::size_t kMostChoices = 256;  // alternatives of one value

std::string all_lines(const Faults &faults) {
  std::string out;
  for (const Fault &fault : faults) out += (out.empty() ? "" : "\n") + fault.text();
  return out;
}

[[noreturn]] void stop(Place place, std::string path, std::string expected, std::string found) {
  throw RecordError(Faults{{std::move(place), std::move(path), std::move(expected), std::move(found)}});
}

// Guards the stack: text is refused before it is parsed when it nests deeper than any record does.
void check_depth(const Source &source) {
  if (source.text.size() > kLargest)
    stop({source.name}, "", "a file of " + std::to_string(kLargest) + " bytes at most",
         std::to_string(source.text.size()));
  std::size_t depth = 0, labels = 0, line = 1, line_start = 0;
  bool in_text = false;
  for (std::size_t i = 0; i < source.text.size(); ++i) {
    char c = source.text[i];
    if (c == '\n') ++line, line_start = i + 1, labels = 0, in_text = false;
    if (in_text && c == '\\') ++i;
    if (c == '"') in_text = !in_text;
    if (in_text) continue;
    if (c == '/' && i + 1 < source.text.size() && source.text[i + 1] == '/') {
      while (i + 1 < source.text.size() && source.text[i + 1] != '\n') ++i;
      continue;
    }
    if (c == '{' || c == '[' || c == '(') ++depth, labels = 0;
    if ((c == '}' || c == ']' || c == ')') && depth) --depth;
    if (c == ',') labels = 0;
    if (c == ':') ++labels;
    if (depth + labels > kDeepest)
      stop({source.name, line, i - line_start + 1}, "", "nesting of " + std::to_string(kDeepest) + " at most",
           "more");
  }
}

class Package {
 public:
  void add(const Source &source, bool is_schema) {
    check_depth(source);
    auto input = std::make_unique<tao::pegtl::memory_input<>>(source.text, source.name);
    std::unique_ptr<Node> tree;
    try {
      tree = tao::pegtl::parse_tree::parse<g::File, g::Kept>(*input);
    } catch (const tao::pegtl::parse_error &error) {
      const auto &at = error.positions().front();
      std::string rest(source.text.substr(std::min(at.byte, source.text.size()), 24));
      rest = rest.substr(0, rest.find('\n'));
      stop({source.name, at.line, at.column}, "", wanted(error), rest.empty() ? "the end" : "'" + rest + "'");
    }
    for (const auto &node : tree->children) {
      const Node &body = *node; // Body, or a Struct in braces
      for (const auto &member : body.children) declare(*member, is_schema);
    }
    trees_.push_back(std::move(tree));
    inputs_.push_back(std::move(input));
  }

  // The unified value of all regular top-level fields of user files, or of schema and files.
  Ref body(bool of_schema, Faults &faults) {
    auto out = std::make_shared<Value>();
    out->kind = Kind::structure;
    for (const auto &[name, declarations] : top_) {
      if (name.starts_with('#')) continue;
      Ref value;
      FieldKind kind = FieldKind::optional;
      for (const Declaration &one : declarations) {
        if (one.is_schema != of_schema) continue;
        Ref next = field_value(*one.node, name, faults);
        if (one.kind == FieldKind::regular) kind = FieldKind::regular;
        value = value ? unify(value, next, name, faults) : next;
      }
      if (value) out->fields[name] = {value, kind};
    }
    return out;
  }

  Ref definition(const std::string &name, const Place &from, Faults &faults) {
    if (auto done = settled_.find(name); done != settled_.end()) return done->second;
    auto it = top_.find(name);
    if (it == top_.end()) stop(from, "", "a name that stands at the top level of a file", name);
    if (!under_way_.insert(name).second) stop(from, "", "no reference that leads back to itself", name);
    Ref value;
    for (const Declaration &one : it->second) {
      Ref next = field_value(*one.node, name, faults);
      value = value ? unify(value, next, name, faults) : next;
    }
    under_way_.erase(name);
    if (name.starts_with('#')) value = close(value);
    return settled_[name] = value;
  }

 private:
  struct Declaration {
    const Node *node; // FieldRule
    bool is_schema;
    FieldKind kind;
  };

  static std::string wanted(const tao::pegtl::parse_error &error) {
    std::string rule(error.message()); // "parse error matching ...::Rule"
    auto said = [&](std::string_view part) { return rule.find(part) != std::string::npos; };
    if (said("::eof")) return "a field, or the end";
    if (said("one<'}'>") || said("'}'") || said("125")) return "a field or '}'";
    if (said("']'") || said("93")) return "an item or ']'";
    if (said("')'") || said("41")) return "')'";
    if (said("'\"'") || said("34")) return "the text's closing quote";
    return "a value";
  }

  static Place place(const Node &node) {
    auto at = node.begin();
    return {at.source, at.line, at.column};
  }

  static std::string unescape(const Node &node) {
    std::string_view raw = node.string_view();
    raw.remove_prefix(1), raw.remove_suffix(1);
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
          stop(place(node), "", "a Unicode character", std::string(node.string_view()));
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

  static std::string label_of(const Node &field) {
    const Node &inner = *field.children[0]->children[0];
    return inner.is_type<g::Text>() ? unescape(inner) : std::string(inner.string_view());
  }

  static FieldKind kind_of(const Node &field) {
    if (!field.children[1]->is_type<g::Mark>()) return FieldKind::regular;
    return field.children[1]->string_view() == "?" ? FieldKind::optional : FieldKind::required;
  }

  void declare(const Node &member, bool is_schema) {
    if (!member.is_type<g::FieldRule>())
      stop(place(member), "", "a field at the top level", std::string(member.string_view().substr(0, 24)));
    top_[label_of(member)].push_back({&member, is_schema, kind_of(member)});
  }

  Ref field_value(const Node &field, const std::string &path, Faults &faults) {
    const Node &value = *field.children.back();
    if (!value.is_type<g::FieldRule>() && !value.is_type<g::Pattern>()) return eval(value, path, faults);
    auto out = std::make_shared<Value>(); // a: b: c, or a: [string]: c
    out->kind = Kind::structure;
    out->place = place(value);
    if (value.is_type<g::Pattern>()) {
      out->pattern = eval(*value.children[0], join(path, "[string]"), faults);
      return out;
    }
    put(*out, value, path, faults);
    return out;
  }

  void put(Value &into, const Node &field, const std::string &path, Faults &faults) {
    std::string name = label_of(field), here = join(path, name);
    Field next{field_value(field, here, faults), kind_of(field)};
    auto [it, added] = into.fields.try_emplace(name, next);
    if (added) return;
    if (next.kind == FieldKind::regular) it->second.kind = FieldKind::regular;
    it->second.value = unify(it->second.value, next.value, here, faults);
  }

  Ref eval(const Node &node, const std::string &path, Faults &faults) {
    auto out = std::make_shared<Value>();
    out->place = place(node);
    if (node.is_type<g::Expression>()) {
      if (node.children.size() == 1 && !node.children[0]->children[0]->is_type<g::Preferred>())
        return eval(*node.children[0], path, faults);
      if (node.children.size() > kMostChoices)
        stop(out->place, path, std::to_string(kMostChoices) + " alternatives at most", "more");
      out->kind = Kind::choice;
      for (const auto &child : node.children)
        out->alternatives.push_back(
            {eval(*child, path, faults), child->children[0]->is_type<g::Preferred>()});
      return out;
    }
    if (node.is_type<g::AlternativeRule>() || node.is_type<g::Group>())
      return eval(*node.children.back(), path, faults);
    if (node.is_type<g::Conjunction>()) {
      Ref value = eval(*node.children[0], path, faults);
      for (std::size_t i = 1; i < node.children.size(); ++i)
        value = unify(value, eval(*node.children[i], path, faults), path, faults);
      return value;
    }
    if (node.is_type<g::BoundRule>()) return bound(node, std::move(out), path, faults);
    if (node.is_type<g::Text>()) {
      out->kind = Kind::string;
      out->text = unescape(node);
      return out;
    }
    if (node.is_type<g::Number>()) return number(node, std::move(out), path);
    if (node.is_type<g::Struct>()) {
      out->kind = Kind::structure;
      for (const auto &member : node.children) {
        if (member->is_type<g::FieldRule>()) put(*out, *member, path, faults);
        if (member->is_type<g::Ellipsis>()) out->open = true;
        if (member->is_type<g::Pattern>())
          out->pattern = eval(*member->children[0], join(path, "[string]"), faults);
      }
      if (out->pattern) {
        for (auto &[name, field] : out->fields)
          field.value = unify(out->pattern, field.value, join(path, name), faults);
      }
      return out;
    }
    if (node.is_type<g::List>()) {
      out->kind = Kind::list;
      for (const auto &item : node.children) {
        std::string here = path + "[" + std::to_string(out->items.size()) + "]";
        if (out->rest)
          stop(place(*item), path, "... as the last of a list", std::string(item->string_view()));
        if (!item->is_type<g::Rest>()) {
          out->items.push_back(eval(*item, here, faults));
        } else {
          out->rest =
              item->children.empty() ? std::make_shared<Value>() : eval(*item->children[0], here, faults);
        }
      }
      return out;
    }
    return reference(node, std::move(out), path, faults);
  }

  Ref bound(const Node &node, std::shared_ptr<Value> out, const std::string &path, Faults &faults) {
    constexpr std::pair<std::string_view, Relation> kSigns[] = {
        {">=", Relation::at_least},   {">", Relation::more_than},  {"<=", Relation::at_most},
        {"<", Relation::less_than},   {"!=", Relation::not_equal}, {"=~", Relation::matches},
        {"!~", Relation::matches_not}};
    std::string_view sign = node.children[0]->string_view();
    Ref operand = eval(*node.children[1], path, faults);
    for (const auto &[text, relation] : kSigns) {
      if (text == sign) out->bounds.push_back({relation, operand});
    }
    bool by_text = sign == "=~" || sign == "!~";
    if (operand->kind == Kind::number) {
      out->types = kNumber;
    } else if (operand->kind == Kind::string) {
      out->types = kString;
    } else {
      stop(out->place, path, "a number or a text after " + std::string(sign), describe(*operand));
    }
    if (sign == "!=") out->types = kAny;
    if (by_text && operand->kind != Kind::string) stop(out->place, path, "a pattern", describe(*operand));
    if (by_text && !RE2(operand->text, RE2::Quiet).ok())
      stop(out->place, path, "a regular expression", describe(*operand));
    return out;
  }

  Ref number(const Node &node, std::shared_ptr<Value> out, const std::string &path) {
    out->kind = Kind::number;
    out->text = node.string();
    out->whole = out->text.find_first_of(".eE") == std::string::npos;
    auto [end, error] = std::from_chars(out->text.data(), out->text.data() + out->text.size(), out->number);
    if (error != std::errc() || !std::isfinite(out->number))
      stop(out->place, path, "a number within a double's range", out->text);
    if (out->whole && std::fabs(out->number) > 9007199254740992.0)
      stop(out->place, path, "an int of 53 bits at most", out->text);
    return out;
  }

  Ref reference(const Node &node, std::shared_ptr<Value> out, const std::string &path, Faults &faults) {
    std::string first(node.children[0]->string_view());
    constexpr std::pair<std::string_view, unsigned> kTypes[] = {{"int", kInt},        {"number", kNumber},
                                                                {"float", kFraction}, {"string", kString},
                                                                {"bool", kBool},      {"_", kAny}};
    if (node.children.size() == 1) {
      for (const auto &[name, types] : kTypes) {
        if (name == first) {
          out->types = types;
          return out;
        }
      }
      if (first == "null" || first == "true" || first == "false") {
        out->kind = first == "null" ? Kind::null : Kind::boolean;
        out->flag = first == "true";
        return out;
      }
    }
    Ref value = definition(first, out->place, faults);
    for (std::size_t i = 1; i < node.children.size(); ++i) {
      auto it = value->fields.find(node.children[i]->string_view());
      if (it == value->fields.end())
        stop(place(*node.children[i]), path, "a field of " + first, std::string(node.string_view()));
      value = it->second.value;
    }
    return value;
  }

  std::map<std::string, std::vector<Declaration>, std::less<>> top_;
  std::map<std::string, Ref, std::less<>> settled_;
  std::set<std::string, std::less<>> under_way_;
  std::vector<std::unique_ptr<tao::pegtl::memory_input<>>> inputs_;
  std::vector<std::unique_ptr<Node>> trees_;
};

struct Unit {
  std::string_view name;
  double factor;
};

double parse_with(std::string_view text, std::span<const Unit> units) {
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
  return parse_with(text, kUnits);
}

double parse_rate(std::string_view text) {
  constexpr Unit kUnits[] = {{"kB/s", 1}, {"MB/s", 1000}, {"kbit/s", 0.125}, {"Mbit/s", 125}};
  return parse_with(text, kUnits);
}

RecordError::RecordError(Faults all) : std::runtime_error(all_lines(all)), faults(std::move(all)) {}

Source load_file(const std::string &name) {
  std::ifstream file(name, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    if (file && file.peek() == std::ifstream::traits_type::eof()) return {name, ""};
    stop({name}, "", "a file that can be read", "none");
  }
  return {name, text.str()};
}

void write_whole(const std::string &name, const std::string &text) {
  std::ofstream out(name + ".new");
  out << text;
  out.close();
  if (!out || std::rename((name + ".new").c_str(), name.c_str()) != 0)
    throw std::runtime_error("cannot write " + name);
}

Ref evaluate(std::span<const Source> files) {
  Package package;
  for (const Source &file : files) package.add(file, false);
  Faults faults;
  Ref value = package.body(false, faults);
  if (!faults.empty()) throw RecordError(std::move(faults));
  return value;
}

Record read(std::span<const Source> files, const Source &schema, std::string_view definition) {
  Package package;
  package.add(schema, true);
  Faults faults;
  for (const Source &file : files) { // a file that does not parse hides no other file's errors
    try {
      package.add(file, false);
    } catch (const RecordError &error) {
      faults.insert(faults.end(), error.faults.begin(), error.faults.end());
    }
  }
  if (!faults.empty()) throw RecordError(std::move(faults));
  Ref wanted = package.definition(std::string(definition), {schema.name}, faults);
  auto body = std::make_shared<Value>(*package.body(false, faults));
  body->place = {files.empty() ? schema.name : files.front().name, 1, 1};
  Ref value = unify(wanted, body, "", faults);
  value = settle(value, "", faults);
  if (!faults.empty()) throw RecordError(std::move(faults));
  return Record(value, "");
}

void Record::refuse(const std::string &path, const std::string &expected, const std::string &found) const {
  stop(value_ ? value_->place : Place{}, path, expected, found);
}

bool Record::has(std::string_view name) const { return value_ && value_->fields.contains(name); }

Record Record::at(std::string_view name) const {
  std::string path = join(path_, std::string(name));
  auto it = value_ ? value_->fields.find(name) : decltype(value_->fields.begin()){};
  if (!value_ || it == value_->fields.end()) refuse(path, "a value", "none");
  return Record(it->second.value, path);
}

const Value &Record::field(std::string_view name, Value::Kind kind, const char *expected) const {
  Record one = at(name);
  if (one.value_->kind != kind) one.refuse(one.path_, expected, describe(*one.value_));
  return *value_->fields.find(name)->second.value;
}

double Record::number(std::string_view name) const { return at(name).as_number(); }
double Record::as_number() const {
  if (value_->kind != Kind::number) refuse(path_, "a number", describe(*value_));
  return value_->number;
}

int Record::whole(std::string_view name) const {
  double value = number(name);
  if (value != std::floor(value) || std::fabs(value) > std::numeric_limits<int>::max())
    at(name).refuse(join(path_, std::string(name)), "a whole number of 31 bits at most",
                    describe(*at(name).value_));
  return static_cast<int>(value);
}

bool Record::flag(std::string_view name) const { return field(name, Kind::boolean, "true or false").flag; }
std::string Record::text(std::string_view name) const { return at(name).as_text(); }
std::string Record::as_text() const {
  if (value_->kind != Kind::string) refuse(path_, "a text", describe(*value_));
  return value_->text;
}

double Record::seconds(std::string_view name) const {
  double value = parse_seconds(text(name));
  if (std::isnan(value))
    at(name).refuse(join(path_, std::string(name)), "a duration such as \"800ms\"",
                    describe(*at(name).value_));
  return value;
}

double Record::rate(std::string_view name) const { return at(name).as_rate(); }
double Record::as_rate() const {
  double value = parse_rate(as_text());
  if (std::isnan(value)) refuse(path_, "a rate such as \"450kB/s\"", describe(*value_));
  return value;
}

std::vector<Record> Record::items(std::string_view name) const {
  const Value &list = field(name, Kind::list, "a list");
  std::vector<Record> out;
  for (const Ref &item : list.items)
    out.emplace_back(item, join(path_, std::string(name)) + "[" + std::to_string(out.size()) + "]");
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
    out.emplace_back(name, Record(field.value, join(path_, name)));
  return out;
}

} // namespace snowshore::records
