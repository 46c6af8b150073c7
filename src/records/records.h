// Settings as typed records: files in a subset of CUE's syntax, unified with a schema that the program holds.
// All errors of a reading come together, each with file, line, path, what was expected and what stands there.
// Nothing here keeps state or does I/O but load_file and write_whole.
//
// The subset: structs, definitions (#Name, closed), optional (a?:) and required (a!:) fields, [string]:
// patterns, lists ([1, 2], [...int]), bounds, =~ and !~ (RE2, as in CUE), disjunctions with defaults, &,
// references to top-level names and their fields, // comments. What CUE has beyond that is an error here,
// never another meaning.
#pragma once
#include "records/value.h"

#include <span>
#include <stdexcept>
#include <string_view>

namespace snowshore::records {

struct Source {
  std::string name, text;
};

struct RecordError : std::runtime_error { // what() has one line a fault
  explicit RecordError(Diagnostics all);
  Diagnostics diagnostics;
};

// A settled value and where it stands; reads throw RecordError naming the path.
class Record {
 public:
  Record() = default;
  Record(ValuePtr value, std::string path) : value_(std::move(value)), path_(std::move(path)) {}
  bool has(std::string_view name) const;
  Record at(std::string_view name) const;
  double number(std::string_view name) const;
  int integer(std::string_view name) const;
  bool boolean(std::string_view name) const;
  std::string text(std::string_view name) const;
  double seconds(std::string_view name) const; // "800ms", "2s", "1m"
  double rate(std::string_view name) const;    // "450kB/s", "2MB/s": kB a second
  std::vector<Record> items(std::string_view name) const;
  std::vector<double> numbers(std::string_view name) const;
  std::vector<std::pair<std::string, Record>> fields() const;
  double as_number() const;
  std::string as_text() const;
  double as_rate() const;
  const std::string &path() const { return path_; }
  const Value &value() const { return *value_; }

 private:
  const Value &field(std::string_view name, Value::Kind kind, const char *expected) const;
  [[noreturn]] void throw_mismatch(const std::string &path, const std::string &expected,
                                   const std::string &found) const;
  ValuePtr value_;
  std::string path_;
};

// The files unified with each other and with the schema's definition, settled. Throws RecordError.
Record read(std::span<const Source> files, const Source &schema, std::string_view definition);

// The same without a schema or settling, for tests and fuzzing: the files' unified value.
ValuePtr evaluate(std::span<const Source> files);

Source load_file(const std::string &name); // throws RecordError when it cannot be read

// Written whole beside and renamed over; throws std::runtime_error naming the file.
void replace_file(const std::string &name, const std::string &text);

double parse_seconds(std::string_view text); // NaN where it is no duration
double parse_rate(std::string_view text);    // NaN where it is no rate

} // namespace snowshore::records
