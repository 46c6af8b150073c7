// Values of record files and their unification. The semantics are a subset of those that the CUE language
// specifies: an expression that is accepted here means the same in CUE. Values are immutable and shared.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snowshore::records {

// The position at which a value is written. Lines and columns count from 1; line 0 stands for the whole file.
struct SourceLocation {
  std::string file;
  std::size_t line = 0, column = 0;
};

// One error in a record: its position, the path of the field, what the schema expects and what the file has.
struct Diagnostic {
  SourceLocation location;
  std::string path, expected, found;
  // Formats the diagnostic as one line: "file:line:column: path: expected ..., found ...".
  std::string text() const;
};
using Diagnostics = std::vector<Diagnostic>;

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

// Bits of Value::type_mask. A number is an int or a float; kAny allows every type, also lists and structs.
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

// One condition of a constraint, such as ">= 1" or "=~ pattern".
struct Bound {
  Relation relation;
  ValuePtr operand;
};

// "name:", "name?:" and "name!:" in a struct.
enum class FieldKind { regular, optional, required };

struct Field {
  ValuePtr value;
  FieldKind kind = FieldKind::regular;
};

// One alternative of a disjunction; "*" marks a default.
struct Disjunct {
  ValuePtr value;
  bool is_default = false;
};

// A value of any kind. The comment on a member names the kind that uses it.
struct Value {
  // bottom is the result of a failed unification, whose error is reported already.
  enum class Kind { bottom, constraint, null, boolean, number, string, list, structure, disjunction };
  Kind kind = Kind::constraint;
  SourceLocation location;
  unsigned type_mask = kAny;   // constraint: the allowed types, as TypeBit
  std::vector<Bound> bounds;   // constraint: all of them hold
  bool boolean = false;        // boolean
  double number = 0;           // number
  bool is_int = false;         // number: written without a fraction and an exponent
  std::string text;            // string: the content; number: the literal as written
  std::vector<ValuePtr> items; // list
  // list: the constraint on items beyond `items`; null for a list of fixed length.
  ValuePtr rest;
  std::map<std::string, Field, std::less<>> fields; // structure
  // structure: the constraint that "[string]:" puts on all fields; null where there is none.
  ValuePtr pattern;
  // structure: it comes from a definition and allows no other fields.
  bool closed = false;
  // structure: it is written with "..." and stays open within a definition.
  bool open = false;
  std::vector<Disjunct> disjuncts; // disjunction
  // Whether the value is neither bottom nor a constraint nor a disjunction. Parts of it are not looked at.
  bool is_concrete() const;
};

// Returns the unification of two values. A conflict is appended to diagnostics under its path, and the
// conflicting part of the result is bottom.
ValuePtr unify(const ValuePtr &a, const ValuePtr &b, const std::string &path, Diagnostics &diagnostics);

// Replaces disjunctions by their defaults and drops optional fields and definitions. Each part that has no
// concrete value then is a diagnostic, at the location of the struct or list that encloses it (`within`).
ValuePtr make_concrete(const ValuePtr &value, const std::string &path, Diagnostics &diagnostics,
                       const SourceLocation &within = {});

// Closes the structs of a definition at every depth, except those that are written with "...".
ValuePtr close(const ValuePtr &value);
// Compares the values without their locations. The kinds of fields and the order of bounds count.
bool equal(const Value &a, const Value &b);
// Describes a value on one line, for diagnostics.
std::string describe(const Value &value);
// Formats a concrete value as record text that reads back to an equal value. `indent` is the nesting level.
std::string render(const Value &value, int indent = 0);
// Appends a field's name to a path: "a.b".
std::string join_path(const std::string &path, const std::string &name);

} // namespace snowshore::records
