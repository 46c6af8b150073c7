// Structured fields (RFC 8941) as far as CMCD and CMSD use them: dictionaries and lists of items with
// parameters. What is malformed is passed over member by member and counted, never an error of the whole.
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
using Item = std::variant<double, bool, std::string, Token>; // numbers: RFC 8941's integers and decimals

struct Member {
  std::string key; // of a dictionary; empty in a list
  Item value;
  std::vector<std::pair<std::string, Item>> parameters;
};

struct ParsedField {
  std::vector<Member> members;
  int malformed = 0;
};

ParsedField parse_dictionary(std::string_view text);
ParsedField parse_list(std::string_view text);
std::string write_item(const Item &item); // numbers with three decimals at most; bytes outside ASCII as '?'

} // namespace snowshore::hints
