// What a front and a server say to each other over HTTP; docs/front-end.md has it header by header.
//   POST   /plays/{play}?title&product&rung&allocation&front&boot&expires_in   set-up; 201 when the first
//   frame is ready PUT    /plays/{play}/rung?rung&step                                     a change of rung;
//   204 DELETE /plays/{play}?allocation&reason                                  withdrawn or ended; 204, also
//   when unknown GET    /load                                                            a probe; 200 GET
//   /fronts/{front}/reports?boot                                     one kept stream of JSON lines
// Every answer carries CMSD-Dynamic. 503 to a set-up proves that it never ran; any other error proves
// nothing.
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
  double expires_in = 0; // seconds; a server gives up a set-up that is not ready by then
};

http::Request write_set_up(const SetUpRequest &set_up);
// Throws std::invalid_argument saying which part is missing or malformed.
SetUpRequest parse_set_up(const http::Request &request);
std::optional<std::string> parse_play_path(std::string_view path); // of /plays/{play} and /plays/{play}/rung

http::Request write_set_rung(const std::string &play, int rung, std::uint64_t step);
http::Request write_end(const std::string &play, int allocation, std::string_view reason);
http::Request write_probe();
http::Request write_report_request(const std::string &front, const std::string &boot);

int integer_parameter(const http::Request &request, std::string_view name);      // throws as parse_set_up
double number_parameter(const http::Request &request, std::string_view name);    // likewise
std::string text_parameter(const http::Request &request, std::string_view name); // likewise

// One line of a report stream.
struct Report {
  enum class Kind { hello, heartbeat, share, load, rung, end };
  Kind kind = Kind::heartbeat;
  std::string play;
  double value = 0;                   // share: of their rates that plays here got; rung: in force
  std::optional<double> link, uplink; // load: asked over given
  std::string reason;                 // end: "done", "left", "withdrawn", "lost"
  double started_at = 0;              // hello: when the server's process started, epoch seconds
  std::vector<std::string> plays;     // hello: what it holds for this front
};

std::string write_report(const Report &report);            // with its newline
std::optional<Report> parse_report(std::string_view line); // none: malformed, to be counted

// Cuts a stream's data into lines; a line over the limit is dropped and counted.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t longest = 1 << 20) : longest_(longest) {}
  template <class F> void feed(std::string_view data, F on_line) {
    for (char c : data) {
      if (c != '\n') {
        if (rest_.size() < longest_)
          rest_ += c;
        else
          over_ = true;
        continue;
      }
      std::string line;
      line.swap(rest_);
      bool whole = !over_;
      over_ = false;
      dropped_ += !whole;
      if (whole && !line.empty()) on_line(std::string_view(line));
    }
  }
  void clear() { rest_.clear(), over_ = false; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  std::size_t longest_;
  std::string rest_;
  bool over_ = false;
  std::uint64_t dropped_ = 0;
};

} // namespace snowshore::serverwire
