// Values of the records' lattice and how two of them unify. A subset of CUE's published semantics: what is
// accepted here means the same there. Values are immutable and shared.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snowshore::records {

struct Place { // where a value was written; lines and columns count from 1
  std::string file;
  std::size_t line = 0, column = 0;
};

struct Fault { // one error, whole: where, on which field, what was expected and what stands there
  Place place;
  std::string path, expected, found;
  std::string text() const;
};
using Faults = std::vector<Fault>;

struct Value;
using Ref = std::shared_ptr<const Value>;

enum Type : unsigned {
  kNull = 1,
  kBool = 2,
  kInt = 4,
  kFraction = 8,
  kNumber = 12,
  kString = 16,
  kAny = 255
};
enum class Relation { at_least, more_than, at_most, less_than, not_equal, matches, matches_not };

struct Bound {
  Relation relation;
  Ref operand;
};

enum class FieldKind { regular, optional, required };

struct Field {
  Ref value;
  FieldKind kind = FieldKind::regular;
};

struct Alternative {
  Ref value;
  bool preferred = false;
};

struct Value {
  enum class Kind { bottom, constraint, null, boolean, number, string, list, structure, choice };
  Kind kind = Kind::constraint;
  Place place;
  unsigned types = kAny;     // constraint
  std::vector<Bound> bounds; // constraint
  bool flag = false;         // boolean
  double number = 0;         // number
  bool whole = false;        // number: written as an int
  std::string text;          // string; for numbers as written
  std::vector<Ref> items;    // list
  Ref rest;                  // list: what further items must be; none: no further items
  std::map<std::string, Field, std::less<>> fields;
  Ref pattern;         // structure: [string]: what all fields must be
  bool closed = false; // structure: a definition's; no other fields
  bool open = false;   // structure: "..." was written; stays open in a definition too
  std::vector<Alternative> alternatives;
  bool concrete() const;
};

// The meet of two values; what does not fit is added to faults, under path, and bottom comes back.
Ref unify(const Ref &a, const Ref &b, const std::string &path, Faults &faults);

// Choices settled by their defaults, optional fields dropped; what stays open is a fault, told at the place
// of the struct or list that it stands within.
Ref settle(const Ref &value, const std::string &path, Faults &faults, const Place &within = {});

Ref close(const Ref &value); // as a definition's: closed at every depth
bool equal(const Value &a, const Value &b);
std::string describe(const Value &value);               // one line, for errors
std::string render(const Value &value, int indent = 0); // in full, as a record file
std::string join(const std::string &path, const std::string &name);

} // namespace snowshore::records
