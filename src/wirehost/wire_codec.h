// Reading and writing the lines of the wire: fields by name, numbers checked, nothing guessed.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class WireLine {
 public:
  void parse(std::string_view text); // keeps views into text
  std::string_view name() const { return name_; }
  const std::vector<std::pair<std::string_view, std::string_view>> &fields() const { return fields_; }
  std::optional<std::string_view> find(std::string_view field) const;
  std::string_view text(std::string_view field) const;
  double number(std::string_view field) const;
  std::optional<double> number_if(std::string_view field) const;
  std::uint64_t whole(std::string_view field) const;
  std::uint64_t whole_or(std::string_view field, std::uint64_t fallback) const;
  int small(std::string_view field) const;
  int small_or(std::string_view field, int fallback) const;
  bool flag_or(std::string_view field, bool fallback) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

double read_number(std::string_view text, std::string_view what);
std::uint64_t read_whole(std::string_view text, std::string_view what);

void append(std::string &out, double value);
void append(std::string &out, std::int64_t value);

} // namespace snowshore
