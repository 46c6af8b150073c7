// Fuzzes the parsers of the platform's protocols: RTSP messages, viewers' lines and frames of the discovery
// channel. Fails on a crash, on a read past the end, and when input that arrives in two pieces is read
// differently than in one piece.
#include "discovery/frames.h"
#include "jsonlines/message.h"
#include "rtsp/message.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore;

// Each of these reads the input cut in two at `cut` and returns a checksum of what was read; read_rtsp() also
// returns whether the input was valid.
static std::pair<bool, std::size_t> read_rtsp(std::string_view all, std::size_t cut) {
  rtsp::MessageReader reader;
  std::size_t sum = 0;
  bool valid = true;
  auto add = [&](const rtsp::Message &message) { sum += 1 + message.body.size(); };
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)}) valid = valid && reader.feed(part, add);
  reader.deliver_last(add);
  return {valid, sum};
}

static std::size_t read_lines(std::string_view all, std::size_t cut) {
  jsonlines::LineReader reader;
  std::size_t sum = 0;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)}) {
    if (!reader.feed(part, [&](std::string_view line) {
          jsonlines::ParseError error;
          auto message = jsonlines::parse_message(line, error);
          sum = sum * 31 + line.size() + (message ? 1 : 0);
          return true;
        }))
      return sum;
  }
  return sum;
}

static std::size_t read_frames(std::string_view all, std::size_t cut) {
  static const discovery::NameTables places{{"a", "b"}, {"k"}};
  discovery::FrameReader reader(places);
  std::size_t sum = 0;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)})
    reader.feed(part,
                [&](const discovery::Event &event) { sum = sum * 31 + event.number + event.servers.size(); });
  return sum;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char *>(data), size);
  auto whole = read_rtsp(text, size), cut = read_rtsp(text, size / 2);
  // Also of invalid input, the same messages must be delivered.
  if (whole != cut) std::abort();
  if (read_lines(text, size) != read_lines(text, size / 2)) std::abort();
  if (read_frames(text, size) != read_frames(text, size / 2)) std::abort();
  return 0;
}
