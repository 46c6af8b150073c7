// Reads and writes the lines of the simulator's protocol. Malformed and missing values are errors; a default
// applies only where the caller passes one.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore {

// Input that cannot be used; the message names the field or line.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: its name, and its fields in any order. Functions that return a value throw WireError where it is
// malformed. optional_number() and functions with a fallback accept a missing or empty field; the others
// throw WireError for it. Integers are 0 or more.
class WireLine {
 public:
  // Replaces the line. `text` must outlive its use, since only views of it are kept.
  void parse(std::string_view text);
  std::string_view name() const { return name_; }
  const std::vector<std::pair<std::string_view, std::string_view>> &fields() const { return fields_; }
  std::optional<std::string_view> find(std::string_view field) const;
  std::string_view text(std::string_view field) const;
  double number(std::string_view field) const;
  std::optional<double> optional_number(std::string_view field) const;
  std::uint64_t whole_number(std::string_view field) const;
  std::uint64_t whole_number_or(std::string_view field, std::uint64_t fallback) const;
  int integer(std::string_view field) const;
  int integer_or(std::string_view field, int fallback) const;
  bool flag_or(std::string_view field, bool fallback) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// Parse a finite number and a whole number of 0 or more. `field` is named in the WireError that they throw
// for other texts.
double read_number(std::string_view text, std::string_view field);
std::uint64_t read_whole_number(std::string_view text, std::string_view field);

// Append a number in decimal; a double is written with six decimals.
void append(std::string &output, double value);
void append(std::string &output, std::int64_t value);

} // namespace snowshore
