// One message of the platform's viewers: a line that holds one JSON object {"verb","tag","opts","rc","blob"}.
// A plain value, read and written without sockets; what is read is bounded and checked, nothing is guessed.
#pragma once
#include "given/hex_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore::jsonlines {

inline constexpr std::size_t kMaxLineBytes = 16 * 1024; // the protocol's bound on a message

using given::format_hex16;
using given::parse_hex16;

struct Message {
  std::string verb;
  std::uint64_t tag = 0;
  std::vector<std::pair<std::string, std::string>> opts; // numbers as they were written
  std::optional<double> cause;
  std::optional<std::string> description;
  const std::string *find_option(std::string_view name) const;
};

// What is wrong with a line, and under which tag where one could be read.
struct ParseError {
  std::string reason;
  std::optional<std::uint64_t> tag;
};

std::optional<Message> parse_message(std::string_view line, ParseError &fault);

// One line with its end. opts: numbers, none below 0 is written.
std::string write_started(std::uint64_t tag, std::string_view description);
std::string write_finish(std::uint64_t tag, int cause, std::optional<std::uint64_t> wait_ms = std::nullopt);
std::string write_finished(std::uint64_t tag);
std::string write_echoed(std::uint64_t tag, bool passed);
std::string write_move(std::uint64_t tag);

// Lines out of bytes that come in any pieces. A line over the bound can't be read, and nothing after it.
class LineReader {
 public:
  // Calls on_line for each whole line, without its end, until told to stop by a false; false where the bound
  // is broken.
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
        std::string whole = std::exchange(partial_, {});
        whole.append(line);
        more = on_line(whole);
      }
      if (!more) return true;
    }
    return true;
  }
  bool has_partial_line() const { return !partial_.empty(); }

 private:
  std::string partial_;
};

} // namespace snowshore::jsonlines
