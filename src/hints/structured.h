// The part of structured fields (RFC 8941) that CMCD and CMSD use: dictionaries and lists of items with
// parameters. A malformed member is skipped and counted; it does not invalidate the rest of the field.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace snowshore::hints {

struct Token {
  std::string text;
  bool operator==(const Token &) const = default;
};
// A double holds an integer or a decimal.
using Item = std::variant<double, bool, std::string, Token>;

struct Member {
  // The key in a dictionary; empty in a list.
  std::string key;
  Item value;
  std::vector<std::pair<std::string, Item>> parameters;
};

struct ParsedField {
  std::vector<Member> members;
  // The number of members that were skipped.
  int malformed = 0;
};

// When a key is repeated, the last member of that key is kept.
ParsedField parse_dictionary(std::string_view text);
ParsedField parse_list(std::string_view text);
// Numbers are rounded to three decimals. Bytes of a string outside printable ASCII are replaced by '?'.
std::string write_item(const Item &item);

} // namespace snowshore::hints
