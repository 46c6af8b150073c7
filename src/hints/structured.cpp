#include "hints/structured.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snowshore::hints {

namespace {

constexpr std::size_t kMostMembers = 128; // guards against a field that holds nothing but keys

bool lower(char c) { return c >= 'a' && c <= 'z'; }
bool alpha(char c) { return lower(c) || (c >= 'A' && c <= 'Z'); }
bool digit(char c) { return c >= '0' && c <= '9'; }

class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}
  bool done() const { return at_ >= text_.size(); }
  char peek() const { return done() ? '\0' : text_[at_]; }
  bool take(char c) { return peek() == c && !done() ? (++at_, true) : false; }
  void spaces() {
    while (peek() == ' ' || peek() == '\t') ++at_;
  }

  // To the comma that ends the member in hand; commas in quotes are passed over.
  void skip_member() {
    bool quoted = false;
    for (; !done(); ++at_) {
      if (quoted && peek() == '\\') {
        ++at_;
      } else if (peek() == '"') {
        quoted = !quoted;
      } else if (peek() == ',' && !quoted) {
        return;
      }
    }
    at_ = text_.size();
  }

  // CMCD has keys in mixed case in its reserved custom ones; they are taken as they come.
  std::optional<std::string> key() {
    std::size_t from = at_;
    if (!alpha(peek()) && peek() != '*') return std::nullopt;
    while (alpha(peek()) || digit(peek()) ||
           (!done() && std::string_view("_-.*").find(peek()) != std::string_view::npos))
      ++at_;
    return std::string(text_.substr(from, at_ - from));
  }

  std::optional<Item> item() {
    if (take('"')) {
      std::string out;
      while (!done()) {
        char c = text_[at_++];
        if (c == '"') return out;
        if (c == '\\') {
          if (peek() != '"' && peek() != '\\') return std::nullopt;
          c = text_[at_++];
        }
        if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) return std::nullopt;
        out += c;
      }
      return std::nullopt;
    }
    if (take('?')) {
      if (take('1')) return true;
      if (take('0')) return false;
      return std::nullopt;
    }
    if (peek() == '-' || digit(peek())) {
      std::size_t from = at_;
      take('-');
      std::size_t whole = at_;
      while (digit(peek())) ++at_;
      std::size_t digits = at_ - whole;
      bool decimal = take('.');
      std::size_t part = at_;
      while (decimal && digit(peek())) ++at_;
      if (digits < 1 || digits > (decimal ? 12 : 15) || (decimal && (at_ == part || at_ - part > 3)))
        return std::nullopt;
      double value = 0;
      std::from_chars(text_.data() + from, text_.data() + at_, value);
      return value;
    }
    if (alpha(peek()) || peek() == '*') {
      std::size_t from = at_;
      while (alpha(peek()) || digit(peek()) ||
             (!done() && std::string_view("!#$%&'*+-.^_`|~:/").find(peek()) != std::string_view::npos))
        ++at_;
      return Token{std::string(text_.substr(from, at_ - from))};
    }
    return std::nullopt; // inner lists and byte sequences: not among these hints
  }

  bool parameters(Member &member) {
    while (take(';')) {
      spaces();
      auto name = key();
      if (!name) return false;
      Item value = true;
      if (take('=')) {
        auto read = item();
        if (!read) return false;
        value = *read;
      }
      member.parameters.emplace_back(*name, value);
    }
    return true;
  }

  std::optional<Member> member(bool with_key) {
    Member out;
    if (with_key) {
      auto name = key();
      if (!name) return std::nullopt;
      out.key = *name;
      out.value = true;
      if (take('=')) {
        auto value = item();
        if (!value) return std::nullopt;
        out.value = *value;
      }
    } else {
      auto value = item();
      if (!value) return std::nullopt;
      out.value = *value;
    }
    if (!parameters(out)) return std::nullopt;
    spaces();
    if (!done() && peek() != ',') return std::nullopt;
    return out;
  }

 private:
  std::string_view text_;
  std::size_t at_ = 0;
};

ParsedField parse(std::string_view text, bool with_keys) {
  ParsedField out;
  Scanner scan(text);
  scan.spaces();
  while (!scan.done()) {
    auto member = scan.member(with_keys);
    if (!member || out.members.size() >= kMostMembers) {
      ++out.malformed;
      scan.skip_member();
    } else {
      if (with_keys)
        std::erase_if(out.members, [&](const Member &m) { return m.key == member->key; }); // the last holds
      out.members.push_back(std::move(*member));
    }
    if (!scan.take(',')) break;
    scan.spaces();
    if (scan.done()) ++out.malformed; // a trailing comma
  }
  return out;
}

} // namespace

ParsedField parse_dictionary(std::string_view text) { return parse(text, true); }
ParsedField parse_list(std::string_view text) { return parse(text, false); }

std::string write_item(const Item &item) {
  if (auto number = std::get_if<double>(&item)) {
    char buffer[64];
    double value = std::clamp(std::round(*number * 1000) / 1000, -999999999999.0, 999999999999.0);
    bool whole = value == std::floor(value);
    auto end =
        std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, whole ? 0 : 3).ptr;
    return {buffer, end};
  }
  if (auto flag = std::get_if<bool>(&item)) return *flag ? "?1" : "?0";
  if (auto token = std::get_if<Token>(&item)) return token->text;
  std::string out = "\"";
  for (unsigned char c : std::get<std::string>(item)) {
    if (c == '"' || c == '\\') out += '\\';
    out += c < 0x20 || c > 0x7e ? '?' : static_cast<char>(c);
  }
  return out + "\"";
}

} // namespace snowshore::hints
