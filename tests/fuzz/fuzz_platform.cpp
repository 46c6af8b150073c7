// Bytes of the platform's protocols: RTSP, viewers' lines, the channel's frames. Nothing crashes, nothing is
// read past its end, and what was cut in two reads the same.
#include "feed/frames.h"
#include "jsonlines/message.h"
#include "rtsp/message.h"

#include <cstdint>
#include <cstdlib>

using namespace snowshore;

static std::pair<bool, std::size_t> answers(std::string_view all, std::size_t cut) {
  rtsp::MessageReader reader;
  std::size_t told = 0;
  bool fine = true;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)})
    fine = fine && reader.feed(part, [&](const rtsp::Message &message) { told += 1 + message.body.size(); });
  return {fine, told};
}

static std::size_t lines(std::string_view all, std::size_t cut) {
  jsonlines::LineReader reader;
  std::size_t sum = 0;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)}) {
    if (!reader.feed(part, [&](std::string_view line) {
          jsonlines::ParseError fault;
          auto message = jsonlines::parse_message(line, fault);
          sum = sum * 31 + line.size() + (message ? 1 : 0);
          return true;
        }))
      return sum;
  }
  return sum;
}

static std::size_t events(std::string_view all, std::size_t cut) {
  static const feed::NameTables places{{"a", "b"}, {"k"}};
  feed::FrameReader reader(places);
  std::size_t sum = 0;
  for (std::string_view part : {all.substr(0, cut), all.substr(cut)})
    reader.feed(part,
                [&](const feed::Event &event) { sum = sum * 31 + event.number + event.servers.size(); });
  return sum;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char *>(data), size);
  auto whole = answers(text, size), cut = answers(text, size / 2);
  // What can't be read ends both; what came before it may have been told by then where it came alone.
  if (whole.first != cut.first || (whole.first && whole.second != cut.second)) std::abort();
  if (lines(text, size) != lines(text, size / 2)) std::abort();
  if (events(text, size) != events(text, size / 2)) std::abort();
  return 0;
}
