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

struct SourceLocation { // where a value was written; lines and columns count from 1
  std::string file;
  std::size_t line = 0, column = 0;
};

struct Diagnostic { // one error, whole: where, on which field, what was expected and what stands there
  SourceLocation location;
  std::string path, expected, found;
  std::string text() const;
};
using Diagnostics = std::vector<Diagnostic>;

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

enum TypeBit : unsigned {
  kNull = 1,
  kBool = 2,
  kInt = 4,
  kFloat = 8,
  kNumber = 12,
  kString = 16,
  kAny = 255
};
enum class Relation { greater_equal, greater, less_equal, less, not_equal, matches, not_matches };

struct Bound {
  Relation relation;
  ValuePtr operand;
};

enum class FieldKind { regular, optional, required };

struct Field {
  ValuePtr value;
  FieldKind kind = FieldKind::regular;
};

struct Disjunct {
  ValuePtr value;
  bool is_default = false;
};

struct Value {
  enum class Kind { bottom, constraint, null, boolean, number, string, list, structure, disjunction };
  Kind kind = Kind::constraint;
  SourceLocation location;
  unsigned type_mask = kAny;   // constraint
  std::vector<Bound> bounds;   // constraint
  bool boolean = false;        // boolean
  double number = 0;           // number
  bool is_int = false;         // number: written as an int
  std::string text;            // string; for numbers as written
  std::vector<ValuePtr> items; // list
  ValuePtr rest;               // list: what further items must be; none: no further items
  std::map<std::string, Field, std::less<>> fields;
  ValuePtr pattern;    // structure: [string]: what all fields must be
  bool closed = false; // structure: a definition's; no other fields
  bool open = false;   // structure: "..." was written; stays open in a definition too
  std::vector<Disjunct> disjuncts;
  bool is_concrete() const;
};

// The meet of two values; what does not fit is added to faults, under path, and bottom comes back.
ValuePtr unify(const ValuePtr &a, const ValuePtr &b, const std::string &path, Diagnostics &diagnostics);

// Choices settled by their defaults, optional fields dropped; what stays open is a fault, told at the place
// of the struct or list that it stands within.
ValuePtr make_concrete(const ValuePtr &value, const std::string &path, Diagnostics &diagnostics,
                       const SourceLocation &within = {});

ValuePtr close(const ValuePtr &value); // as a definition's: closed at every depth
bool equal(const Value &a, const Value &b);
std::string describe(const Value &value);               // one line, for errors
std::string render(const Value &value, int indent = 0); // in full, as a record file
std::string join_path(const std::string &path, const std::string &name);

} // namespace snowshore::records
