// Tests of the viewers' line protocol: messages, line splitting and the server's limits.
#include "http/socket_helpers.h"
#include "jsonlines/server.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

TEST_CASE("a malformed message is rejected, with its tag when the tag is valid") {
  struct Row {
    const char *name, *line;
    bool readable, tagged;
  };
  const Row rows[] = {
      {"a START", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":"1500","n":3},"blob":"x\r\n"})",
       true, true},
      {"a FINISH", R"({"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34})", true, true},
      {"not JSON", "hello", false, false},
      {"an empty line", "", false, false},
      {"a truncated object", R"({"verb":"START")", false, false},
      {"an array", "[1]", false, false},
      {"no tag", R"({"verb":"START"})", false, false},
      {"a short tag", R"({"verb":"START","tag":"9b1f"})", false, false},
      {"a tag with a line end", R"({"verb":"START","tag":"9b1f03aa5c7e2d4\n"})", false, false},
      {"a tag in capitals", R"({"verb":"START","tag":"9B1F03AA5C7E2D41"})", false, false},
      {"a tag that is a number", R"({"verb":"START","tag":9})", false, false},
      {"no verb", R"({"tag":"9b1f03aa5c7e2d41"})", false, true},
      {"opts of the wrong type", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":[]})", false, true},
      {"an option of the wrong type", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":{}}})",
       false, true},
      {"a cause of the wrong type", R"({"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"})", false, true},
      {"a blob of the wrong type", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","blob":7})", false, true},
      {"invalid UTF-8", "{\"verb\":\"START\",\"tag\":\"9b1f03aa5c7e2d41\",\"blob\":\"\xff\xfe\"}", false,
       false},
  };
  for (const Row &row : rows) {
    CAPTURE(row.name);
    jsonlines::ParseError error;
    auto message = jsonlines::parse_message(row.line, error);
    CHECK(message.has_value() == row.readable);
    CHECK((message || error.tag.has_value() == row.tagged));
    CHECK((message || !error.reason.empty()));
  }
  std::string deep(8000, '[');
  jsonlines::ParseError error;
  CHECK_FALSE(jsonlines::parse_message(deep, error));
}

TEST_CASE("line splitting does not depend on how the bytes arrive; an overlong line ends the reader") {
  std::string bytes = "one\ntwo\n\nthree\nrest";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    jsonlines::LineReader reader;
    std::vector<std::string> seen;
    for (std::size_t at = 0; at < bytes.size(); at += piece)
      CHECK(reader.feed(std::string_view(bytes).substr(at, piece), [&](std::string_view line) {
        seen.emplace_back(line);
        return true;
      }));
    CHECK(seen == std::vector<std::string>{"one", "two", "", "three"});
    CHECK(reader.has_partial_line());
  }
  jsonlines::LineReader reader;
  bool readable = true;
  for (int i = 0; i < 17 && readable; ++i)
    readable = reader.feed(std::string(1024, 'x'), [](std::string_view) { return true; });
  CHECK_FALSE(readable);
}

TEST_CASE("a message to a viewer is a single line, even when its description has line ends") {
  for (const std::string &line : {jsonlines::write_started(0x9b1f, "a\r\n\"b\"\n").value(),
                                  jsonlines::write_finish(1, 34, 250), jsonlines::write_move(2)}) {
    CHECK(line.find('\n') == line.size() - 1);
    jsonlines::ParseError error;
    CHECK(jsonlines::parse_message(std::string_view(line).substr(0, line.size() - 1), error));
  }
  jsonlines::ParseError error;
  std::string line = jsonlines::write_started(0x9b1f, "a\r\n\"b\"\n").value();
  CHECK(jsonlines::parse_message(std::string_view(line).substr(0, line.size() - 1), error)->description ==
        "a\r\n\"b\"\n");
}

// Guards against an exception in the event loop, which ends the process.
TEST_CASE("a description that no JSON line can carry is rejected when it is written") {
  struct Row {
    const char *name;
    std::string description;
    bool can_be_written;
  };
  const Row rows[] = {
      {"ASCII", "v=0\r\n", true},
      {"empty", "", true},
      {"beyond ASCII", "s=gr\xc3\xbcn \xe2\x82\xac \xf0\x9f\x8e\xac\r\n", true},
      {"control characters", std::string("a\0\x01\x7f", 4), true},
      {"not UTF-8", "a\xff", false},
      {"an overlong encoding", "a\xc0\xaf", false},
      {"a surrogate", "a\xed\xa0\x80", false},
      {"beyond Unicode", "a\xf4\x90\x80\x80", false},
      {"a character that is cut off", "a\xe2\x82", false},
      {"as long as a line may be", std::string(jsonlines::kMaxLineBytes - 63, 'x'), true},
      {"longer than a line may be", std::string(jsonlines::kMaxLineBytes - 62, 'x'), false},
      {"longer than a line may be for its line ends", std::string(jsonlines::kMaxLineBytes / 2, '\n'), false},
  };
  for (const Row &row : rows) {
    CAPTURE(row.name);
    auto line = jsonlines::write_started(0x9b1f, row.description);
    CHECK(line.has_value() == row.can_be_written);
    if (!line) continue;
    jsonlines::ParseError error;
    auto message = jsonlines::parse_message(std::string_view(*line).substr(0, line->size() - 1), error);
    REQUIRE(message);
    CHECK(message->description == row.description);
  }
}

namespace {

struct LineServer {
  asio::io_context io;
  std::vector<std::pair<jsonlines::Server::ConnectionId, std::string>> lines;
  std::unique_ptr<jsonlines::Server> server;
  explicit LineServer(jsonlines::Limits limits) {
    jsonlines::Server::Events events;
    events.on_line = [this](jsonlines::Server::ConnectionId from, std::string_view line) {
      lines.emplace_back(from, line);
    };
    events.on_closed = [](jsonlines::Server::ConnectionId, const char *) {};
    server = std::make_unique<jsonlines::Server>(io, loopback(), limits, std::move(events));
  }
};

} // namespace

TEST_CASE("a connection without a complete line in time is closed, an idle one is kept") {
  jsonlines::Limits limits;
  limits.first_line_timeout = 0.3;
  LineServer scene(limits);
  RawClient silent(scene.io, scene.server->local_endpoint()),
      incomplete(scene.io, scene.server->local_endpoint()),
      complete(scene.io, scene.server->local_endpoint());
  incomplete.send("{\"verb\":");
  complete.send("{}\n");
  REQUIRE(run_until(
      scene.io, [&] { return silent.closed && incomplete.closed; }, 2));
  run_for(scene.io, 0.3);
  CHECK_FALSE(complete.closed);
  CHECK(scene.lines.size() == 1);
  CHECK(scene.server->counters().silent_cut == 2);
}

TEST_CASE("connections over the limit replace idle ones, never the one with an open request") {
  jsonlines::Limits limits;
  limits.connections = 8;
  LineServer scene(limits);
  RawClient busy(scene.io, scene.server->local_endpoint());
  busy.send("{}\n");
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  scene.server->add_open_requests(scene.lines[0].first, 1);
  std::vector<std::unique_ptr<RawClient>> burst;
  for (int i = 0; i < 60; ++i) {
    burst.push_back(std::make_unique<RawClient>(scene.io, scene.server->local_endpoint()));
    burst.back()->send("{}\n");
  }
  CHECK(run_until(
      scene.io, [&] { return scene.lines.size() == 61; }, 4));
  CHECK_FALSE(busy.closed);
  CHECK(scene.server->connections() <= 8);
  CHECK(scene.server->counters().room_cut >= 52);
}

TEST_CASE("an overlong line and a viewer that does not read each close the connection") {
  jsonlines::Limits limits;
  limits.unsent_bytes = 4096;
  LineServer scene(limits);
  RawClient endless(scene.io, scene.server->local_endpoint());
  endless.send(std::string(20000, 'x'));
  CHECK(run_until(
      scene.io, [&] { return endless.closed; }, 2));
  asio::ip::tcp::socket unreading(scene.io);
  unreading.connect(scene.server->local_endpoint());
  asio::write(unreading, asio::buffer("{}\n", 3));
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  bool sent = true;
  for (int i = 0; i < 100000 && sent; ++i) {
    sent = scene.server->send(scene.lines[0].first, std::string(1000, 'y'));
    if (i % 4 == 3) run_for(scene.io, 0.0005);
  }
  CHECK_FALSE(sent);
  CHECK(run_until(
      scene.io, [&] { return scene.server->connections() == 0; }, 2));
}

// A release that is on its way would be lost if such a connection were closed to admit new ones.
TEST_CASE("a burst of silent connections does not close a trusted connection") {
  jsonlines::Limits limits;
  limits.connections = 4;
  LineServer scene(limits);
  RawClient trusted(scene.io, scene.server->local_endpoint());
  trusted.send("{}\n");
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  scene.server->mark_trusted(scene.lines[0].first);
  run_for(scene.io, 0.1);
  std::vector<std::unique_ptr<RawClient>> burst;
  for (int i = 0; i < 12; ++i)
    burst.push_back(std::make_unique<RawClient>(scene.io, scene.server->local_endpoint()));
  REQUIRE(run_until(
      scene.io, [&] { return scene.server->counters().accepted == 13; }, 2));
  CHECK(scene.server->counters().room_cut >= 9);
  CHECK_FALSE(trusted.closed);
}

// A front end that was killed for memory: hundreds of clients that stop half way through a large line.
TEST_CASE("jsonlines: many connections that stop within a line hold memory without bound") {
  asio::io_context io;
  jsonlines::Limits limits;
  limits.connections = 100;
  limits.buffered_bytes = 200'000;
  std::vector<std::string> lines;
  jsonlines::Server::Events events;
  events.on_line = [&](jsonlines::Server::ConnectionId, std::string_view line) { lines.emplace_back(line); };
  events.on_closed = [](jsonlines::Server::ConnectionId, const char *) {};
  jsonlines::Server server(io, loopback(), limits, std::move(events));
  RawClient usual(io, server.local_endpoint());
  usual.send("half a");
  std::vector<std::unique_ptr<RawClient>> slow;
  std::size_t most = 0;
  for (int i = 0; i < 60; ++i) {
    slow.push_back(std::make_unique<RawClient>(io, server.local_endpoint()));
    slow.back()->send(std::string(15'000, 'x'));
    run_for(io, 0.004);
    most = std::max(most, server.buffered_bytes());
  }
  run_for(io, 0.05);
  CHECK(server.buffered_bytes() <= limits.buffered_bytes);
  CHECK(most <= limits.buffered_bytes + jsonlines::kMaxLineBytes);
  CHECK(server.counters().buffer_cut >= 40);
  // Those that hold most are closed, not the usual one.
  usual.send(" line\n");
  CHECK(run_until(
      io, [&] { return lines == std::vector<std::string>{"half a line"}; }, 1));
}

// Answers that came late or never: clients that send lines at full speed.
TEST_CASE("jsonlines: a round of many flooding connections delays another connection's line") {
  asio::io_context io;
  jsonlines::Limits limits;
  limits.connections = 150;
  std::size_t flood_lines = 0, lines_before_usual = 0;
  jsonlines::Server::Events events;
  events.on_line = [&](jsonlines::Server::ConnectionId, std::string_view line) {
    if (line == "usual")
      lines_before_usual = flood_lines;
    else
      ++flood_lines;
  };
  events.on_closed = [](jsonlines::Server::ConnectionId, const char *) {};
  jsonlines::Server server(io, loopback(), limits, std::move(events));
  RawClient usual(io, server.local_endpoint());
  std::vector<std::unique_ptr<RawClient>> flooding;
  std::string flood;
  for (int i = 0; i < 400; ++i) flood += "a short line\n";
  for (int i = 0; i < 100; ++i) {
    flooding.push_back(std::make_unique<RawClient>(io, server.local_endpoint()));
    flooding.back()->send(flood);
  }
  while (flood_lines < 1000) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(10));
  }
  std::size_t lines_at_send = flood_lines;
  usual.send("usual\n");
  REQUIRE(run_until(io, [&] { return lines_before_usual > 0; }));
  // A few rounds at one line a connection; it was 16 lines a connection in each.
  CHECK(lines_before_usual - lines_at_send < 500);
}
