// Settings as typed records. Record files are written in a subset of CUE and unified with a schema that the
// program holds. One read reports all errors together, each with file, line, path, the expected and the found
// value. Nothing here keeps state, and only load_file and replace_file do I/O.
//
// The subset: structs, definitions (#Name, closed), optional (a?:) and required (a!:) fields, [string]:
// patterns, lists ([1, 2], [...int]), bounds, =~ and !~ (RE2, as in CUE), disjunctions with defaults, &,
// references to top-level names and their fields, // comments. Any other CUE syntax is an error and never has
// a different meaning.
#pragma once
#include "records/value.h"

#include <span>
#include <stdexcept>
#include <string_view>

namespace snowshore::records {

// A record file or schema. The name appears in diagnostics.
struct Source {
  std::string name, text;
};

// Thrown with all diagnostics of a read; what() has one line for each.
struct RecordError : std::runtime_error {
  explicit RecordError(Diagnostics all);
  Diagnostics diagnostics;
};

// A concrete value together with its path from the root of the record. The accessors read a field by its name
// and throw RecordError, with the path and the location, if the field is missing or of another type.
class Record {
 public:
  Record() = default;
  Record(ValuePtr value, std::string path) : value_(std::move(value)), path_(std::move(path)) {}
  bool has(std::string_view name) const;
  Record at(std::string_view name) const;
  double number(std::string_view name) const;
  // Throws also for a number with a fraction and for one beyond 31 bits.
  int integer(std::string_view name) const;
  bool boolean(std::string_view name) const;
  std::string text(std::string_view name) const;
  // Reads a duration such as "800ms", "2s" or "1m", in seconds.
  double seconds(std::string_view name) const;
  // Reads a rate such as "450kB/s" or "2MB/s", in kilobytes per second.
  double rate(std::string_view name) const;
  std::vector<Record> items(std::string_view name) const;
  std::vector<double> numbers(std::string_view name) const;
  // Returns the fields of this struct in the order of their names.
  std::vector<std::pair<std::string, Record>> fields() const;
  // The as_ functions read this value itself.
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

// Unifies the files with each other and with the named definition of the schema, and resolves defaults.
// Throws RecordError.
Record read(std::span<const Source> files, const Source &schema, std::string_view definition);

// Unifies the files without a schema and without resolving defaults. Tests and fuzzing use it.
ValuePtr evaluate(std::span<const Source> files);

// Throws RecordError if the file cannot be read.
Source load_file(const std::string &name);

// Replaces the file's content: writes name.new and renames it to name, so that a reader sees the old or the
// new content. Throws std::runtime_error with the file's name.
void replace_file(const std::string &name, const std::string &text);

// Return NaN if the text is no duration (in seconds) or no rate (in kilobytes per second).
double parse_seconds(std::string_view text);
double parse_rate(std::string_view text);

} // namespace snowshore::records
