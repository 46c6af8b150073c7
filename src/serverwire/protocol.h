// Messages between a front and a server over HTTP; docs/front-end.md describes them header by header.
//
//   POST /plays/{play}?title&product&rung&allocation&front&boot&expires_in
//       Set-up; answered by 201 once the first frame is ready.
//   PUT /plays/{play}/rung?rung&step
//       Change of rung; answered by 204.
//   DELETE /plays/{play}?allocation&reason
//       The set-up is withdrawn or the play has ended; answered by 204, also for an unknown play.
//   GET /load
//       Probe; answered by 200.
//   GET /fronts/{front}/reports?boot
//       A persistent stream of reports, one JSON object a line.
//
// Every response has a CMSD-Dynamic header. A 503 to a set-up proves that the set-up was not started; any
// other error leaves that open.
#pragma once
#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowshore::serverwire {

struct SetUpRequest {
  std::string play, title, product, front, boot;
  int rung = 0, allocation = 0;
  // Seconds after which the server abandons a set-up that is not ready.
  double expires_in = 0;
};

http::Request write_set_up(const SetUpRequest &set_up);
// Throws std::invalid_argument that names the missing or malformed parameter.
SetUpRequest parse_set_up(const http::Request &request);
// Returns the play of /plays/{play} or /plays/{play}/rung, or nothing for any other path.
std::optional<std::string> parse_play_path(std::string_view path);

http::Request write_set_rung(const std::string &play, int rung, std::uint64_t step);
http::Request write_end(const std::string &play, int allocation, std::string_view reason);
http::Request write_probe();
http::Request write_report_request(const std::string &front, const std::string &boot);

// Each of these returns a query parameter and throws std::invalid_argument when it is missing or malformed.
// An integer is between 0 and 1e9.
int integer_parameter(const http::Request &request, std::string_view name);
double number_parameter(const http::Request &request, std::string_view name);
std::string text_parameter(const http::Request &request, std::string_view name);

// One line of a report stream.
struct Report {
  enum class Kind { hello, heartbeat, share, load, rung, end };
  Kind kind = Kind::heartbeat;
  std::string play;
  // share: the part of their rates that the plays on the server received. rung: the rung in force.
  double value = 0;
  // load: the requested rate divided by the capacity.
  std::optional<double> link, uplink;
  // end: "done", "left", "withdrawn" or "lost".
  std::string reason;
  // hello: the time at which the server's process started, in seconds since the epoch.
  double started_at = 0;
  // hello: the plays that the server holds for this front.
  std::vector<std::string> plays;
};

// Returns the line including its line end.
std::string write_report(const Report &report);
// Returns nothing for a malformed line.
std::optional<Report> parse_report(std::string_view line);

// Splits a byte stream into lines. Lines longer than the limit are dropped and counted; empty lines are
// skipped.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_bytes = 1 << 20) : max_bytes_(max_bytes) {}
  // Calls on_line with each complete line, without its line end.
  template <class F> void feed(std::string_view data, F on_line) {
    for (char c : data) {
      if (c != '\n') {
        if (partial_.size() < max_bytes_)
          partial_ += c;
        else
          overlong_ = true;
        continue;
      }
      std::string line;
      line.swap(partial_);
      bool complete = !overlong_;
      overlong_ = false;
      dropped_ += !complete;
      if (complete && !line.empty()) on_line(std::string_view(line));
    }
  }
  // Discards an incomplete line.
  void clear() { partial_.clear(), overlong_ = false; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t max_bytes_;
  std::string partial_;
  bool overlong_ = false;
  std::uint64_t dropped_ = 0;
};

} // namespace snowshore::serverwire
