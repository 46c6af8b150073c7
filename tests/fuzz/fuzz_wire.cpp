// Fuzzes the parsers of network input: HTTP messages, CMCD and CMSD, and report lines. Fails on a crash, on a
// read past the end, and when input that arrives in two pieces is read differently than in one piece.
#include "hints/hints.h"
#include "http/message.h"
#include "serverwire/protocol.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore;

// Returns a number that depends on the messages read and on the failure, with the input cut in two at `cut`.
static int read_messages(std::string_view all, std::size_t cut, http::MessageReader::Kind kind) {
  http::MessageReader reader(kind, {256, 64});
  int sum = 0;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)}) {
    while (!part.empty()) {
      std::size_t consumed = 0;
      auto progress = reader.feed(part, consumed);
      if (consumed > part.size()) std::abort();
      part.remove_prefix(consumed);
      if (progress == http::MessageReader::Progress::failed) return sum * 1000 + reader.failure_status();
      if (progress == http::MessageReader::Progress::complete)
        ++sum, reader.start_next();
      else if (consumed == 0)
        break;
    }
  }
  return sum;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char *>(data), size);
  for (auto kind : {http::MessageReader::Kind::request, http::MessageReader::Kind::response}) {
    int whole = read_messages(text, text.size(), kind);
    if (whole != read_messages(text, text.size() / 2, kind)) std::abort();
  }
  hints::Cmcd hints;
  hints::parse_cmcd(text, hints);
  hints::Cmcd back;
  hints::parse_cmcd(hints::write_cmcd(hints), back);
  if (back.malformed || back.top_bitrate_kbps.has_value() != hints.top_bitrate_kbps.has_value()) std::abort();
  hints::parse_cmsd(text);
  if (auto report = serverwire::parse_report(text)) {
    std::string line = serverwire::write_report(*report);
    line.pop_back();
    auto again = serverwire::parse_report(line);
    if (!again || again->kind != report->kind || again->play != report->play) std::abort();
  }
  http::percent_decode(text);
  return 0;
}
