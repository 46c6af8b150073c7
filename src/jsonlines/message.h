// A message of the viewers' line protocol: one line that holds one JSON object
// {"verb","tag","opts","rc","blob"}. Messages are plain values; this module uses no sockets. The reader
// bounds the length of a line and checks the type of each member; it never substitutes a value for a bad one.
#pragma once
#include "settings/hex_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore::jsonlines {

// The protocol's bound on a message, without its line end.
inline constexpr std::size_t kMaxLineBytes = 16 * 1024;

using settings::format_hex16;
using settings::parse_hex16;

struct Message {
  std::string verb;
  std::uint64_t tag = 0;
  // The members of "opts" in the order in which they were read; a number is kept as its JSON text.
  std::vector<std::pair<std::string, std::string>> opts;
  // "rc".
  std::optional<double> cause;
  // "blob".
  std::optional<std::string> description;
  // Returns the value of an option, or nullptr when the message has no option of that name.
  const std::string *find_option(std::string_view name) const;
};

struct ParseError {
  std::string reason;
  // The tag of the line, when it was read before the error was found.
  std::optional<std::uint64_t> tag;
};

// Parses a line without its line end. On failure returns nothing and fills in `error`.
std::optional<Message> parse_message(std::string_view line, ParseError &error);

// Each of these returns one line including its line end. Options are non-negative numbers. write_started()
// returns nothing when no line can carry the description unchanged: it is not UTF-8, or the line would exceed
// kMaxLineBytes.
std::optional<std::string> write_started(std::uint64_t tag, std::string_view description);
bool can_carry_description(std::string_view description);
std::string write_finish(std::uint64_t tag, int cause, std::optional<std::uint64_t> wait_ms = std::nullopt);
std::string write_finished(std::uint64_t tag);
std::string write_echoed(std::uint64_t tag, bool passed);
std::string write_move(std::uint64_t tag);

// Splits a byte stream that arrives in pieces of any size into lines. Once a line exceeds kMaxLineBytes,
// neither it nor anything after it can be read.
class LineReader {
 public:
  // Calls on_line with each complete line, without its line end, until on_line returns false; the rest of
  // `bytes` is then dropped. Returns false when a line exceeds kMaxLineBytes.
  template <class F> bool feed(std::string_view bytes, F on_line) {
    while (!bytes.empty()) {
      std::size_t end = bytes.find('\n');
      if (partial_.size() + std::min(end, bytes.size()) > kMaxLineBytes) return false;
      if (end == std::string_view::npos) {
        partial_.append(bytes);
        return true;
      }
      std::string_view line = bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      bool more;
      if (partial_.empty()) {
        more = on_line(line);
      } else {
        std::string complete = std::exchange(partial_, {});
        complete.append(line);
        more = on_line(complete);
      }
      if (!more) return true;
    }
    return true;
  }
  bool has_partial_line() const { return !partial_.empty(); }
  std::size_t partial_bytes() const { return partial_.size(); }

 private:
  std::string partial_;
};

} // namespace snowshore::jsonlines
