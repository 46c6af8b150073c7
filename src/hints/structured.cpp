// Parser and writer of structured fields.
#include "hints/structured.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snowshore::hints {

namespace {

// Bounds the memory that a field with very many keys can use; further members count as malformed.
constexpr std::size_t kMaxMembers = 128;

bool is_lower(char c) { return c >= 'a' && c <= 'z'; }
bool is_alpha(char c) { return is_lower(c) || (c >= 'A' && c <= 'Z'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }

// Reads the elements of a field from left to right. After a failed read the position is unspecified; the
// caller continues with skip_member().
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}
  bool done() const { return at_ >= text_.size(); }
  char peek() const { return done() ? '\0' : text_[at_]; }
  // Consumes the next character if it equals c, and returns whether it did.
  bool take(char c) { return peek() == c && !done() ? (++at_, true) : false; }
  void skip_spaces() {
    while (peek() == ' ' || peek() == '\t') ++at_;
  }

  // Moves to the comma that ends the current member, or to the end; commas inside quotes are ignored.
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

  // RFC 8941 allows only lowercase keys, but custom CMCD keys may be in mixed case, so both are accepted.
  std::optional<std::string> key() {
    std::size_t start = at_;
    if (!is_alpha(peek()) && peek() != '*') return std::nullopt;
    while (is_alpha(peek()) || is_digit(peek()) ||
           (!done() && std::string_view("_-.*").find(peek()) != std::string_view::npos))
      ++at_;
    return std::string(text_.substr(start, at_ - start));
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
    if (peek() == '-' || is_digit(peek())) {
      std::size_t start = at_;
      take('-');
      std::size_t integer_start = at_;
      while (is_digit(peek())) ++at_;
      std::size_t integer_digits = at_ - integer_start;
      bool is_decimal = take('.');
      std::size_t fraction_start = at_;
      while (is_decimal && is_digit(peek())) ++at_;
      if (integer_digits < 1 || integer_digits > (is_decimal ? 12 : 15) ||
          (is_decimal && (at_ == fraction_start || at_ - fraction_start > 3)))
        return std::nullopt;
      double value = 0;
      std::from_chars(text_.data() + start, text_.data() + at_, value);
      return value;
    }
    if (is_alpha(peek()) || peek() == '*') {
      std::size_t start = at_;
      while (is_alpha(peek()) || is_digit(peek()) ||
             (!done() && std::string_view("!#$%&'*+-.^_`|~:/").find(peek()) != std::string_view::npos))
        ++at_;
      return Token{std::string(text_.substr(start, at_ - start))};
    }
    // The keys of CMCD and CMSD that are used here hold no inner lists and no byte sequences.
    return std::nullopt;
  }

  bool parameters(Member &member) {
    while (take(';')) {
      skip_spaces();
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
    skip_spaces();
    if (!done() && peek() != ',') return std::nullopt;
    return out;
  }

 private:
  std::string_view text_;
  std::size_t at_ = 0;
};

ParsedField parse(std::string_view text, bool with_keys) {
  ParsedField out;
  Scanner scanner(text);
  scanner.skip_spaces();
  while (!scanner.done()) {
    auto member = scanner.member(with_keys);
    if (!member || out.members.size() >= kMaxMembers) {
      ++out.malformed;
      scanner.skip_member();
    } else {
      if (with_keys) std::erase_if(out.members, [&](const Member &m) { return m.key == member->key; });
      out.members.push_back(std::move(*member));
    }
    if (!scanner.take(',')) break;
    scanner.skip_spaces();
    // A trailing comma.
    if (scanner.done()) ++out.malformed;
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
    bool is_integer = value == std::floor(value);
    auto end =
        std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, is_integer ? 0 : 3)
            .ptr;
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
