#include "http/loop.h"
#include "jsonlines/server.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

TEST_CASE("a viewer's line is read whole or refused, under its tag where one can be read") {
  struct Row {
    const char *name, *line;
    bool readable, tagged;
  };
  const Row rows[] = {
      {"a set-up", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":"1500","n":3},"blob":"x\r\n"})",
       true, true},
      {"a release", R"({"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34})", true, true},
      {"no JSON", "hello", false, false},
      {"nothing", "", false, false},
      {"half an object", R"({"verb":"START")", false, false},
      {"no object", "[1]", false, false},
      {"no tag", R"({"verb":"START"})", false, false},
      {"a short tag", R"({"verb":"START","tag":"9b1f"})", false, false},
      {"a tag with a line end", R"({"verb":"START","tag":"9b1f03aa5c7e2d4\n"})", false, false},
      {"a tag in capitals", R"({"verb":"START","tag":"9B1F03AA5C7E2D41"})", false, false},
      {"a tag that is a number", R"({"verb":"START","tag":9})", false, false},
      {"no verb", R"({"tag":"9b1f03aa5c7e2d41"})", false, true},
      {"opts of the wrong kind", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":[]})", false, true},
      {"an option of the wrong kind", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"left":{}}})",
       false, true},
      {"a cause of the wrong kind", R"({"verb":"FINISH","tag":"9b1f03aa5c7e2d41","rc":"x"})", false, true},
      {"a blob of the wrong kind", R"({"verb":"START","tag":"9b1f03aa5c7e2d41","blob":7})", false, true},
      {"no UTF-8", "{\"verb\":\"START\",\"tag\":\"9b1f03aa5c7e2d41\",\"blob\":\"\xff\xfe\"}", false, false},
  };
  for (const Row &row : rows) {
    CAPTURE(row.name);
    jsonlines::ParseError fault;
    auto message = jsonlines::parse_message(row.line, fault);
    CHECK(message.has_value() == row.readable);
    CHECK((message || fault.tag.has_value() == row.tagged));
    CHECK((message || !fault.reason.empty()));
  }
  std::string deep(8000, '[');
  jsonlines::ParseError fault;
  CHECK_FALSE(jsonlines::parse_message(deep, fault));
}

TEST_CASE("lines are the same in any pieces; one over the bound ends the reader") {
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
  bool fine = true;
  for (int i = 0; i < 17 && fine; ++i)
    fine = reader.feed(std::string(1024, 'x'), [](std::string_view) { return true; });
  CHECK_FALSE(fine);
}

TEST_CASE("what is said to viewers is one line each, whatever a description holds") {
  for (const std::string &line : {jsonlines::write_started(0x9b1f, "a\r\n\"b\"\n"),
                                  jsonlines::write_finish(1, 34, 250), jsonlines::write_move(2)}) {
    CHECK(line.find('\n') == line.size() - 1);
    jsonlines::ParseError fault;
    CHECK(jsonlines::parse_message(std::string_view(line).substr(0, line.size() - 1), fault));
  }
  jsonlines::ParseError fault;
  std::string line = jsonlines::write_started(0x9b1f, "a\r\n\"b\"\n");
  CHECK(jsonlines::parse_message(std::string_view(line).substr(0, line.size() - 1), fault)->description ==
        "a\r\n\"b\"\n");
}

namespace {

struct Lines {
  asio::io_context io;
  std::vector<std::pair<jsonlines::Server::ConnectionId, std::string>> lines;
  std::unique_ptr<jsonlines::Server> server;
  explicit Lines(jsonlines::Limits limits) {
    jsonlines::Server::Events events;
    events.on_line = [this](jsonlines::Server::ConnectionId from, std::string_view line) {
      lines.emplace_back(from, line);
    };
    events.on_closed = [](jsonlines::Server::ConnectionId, const char *) {};
    server = std::make_unique<jsonlines::Server>(io, loopback(), limits, std::move(events));
  }
};

} // namespace

TEST_CASE("who says nothing whole in time is closed, who stands idle after that is not") {
  jsonlines::Limits limits;
  limits.first_line_timeout = 0.3;
  Lines scene(limits);
  RawClient silent(scene.io, scene.server->local_endpoint()), half(scene.io, scene.server->local_endpoint()),
      good(scene.io, scene.server->local_endpoint());
  half.send("{\"verb\":");
  good.send("{}\n");
  REQUIRE(run_until(
      scene.io, [&] { return silent.closed && half.closed; }, 2));
  run_for(scene.io, 0.3);
  CHECK_FALSE(good.closed);
  CHECK(scene.lines.size() == 1);
  CHECK(scene.server->counters().silent_cut == 2);
}

TEST_CASE("a crowd of connections gets in one after the other, and the one with a request stays") {
  jsonlines::Limits limits;
  limits.connections = 8;
  Lines scene(limits);
  RawClient held(scene.io, scene.server->local_endpoint());
  held.send("{}\n");
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  scene.server->add_open_requests(scene.lines[0].first, 1);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<RawClient>(scene.io, scene.server->local_endpoint()));
    crowd.back()->send("{}\n");
  }
  CHECK(run_until(
      scene.io, [&] { return scene.lines.size() == 61; }, 4));
  CHECK_FALSE(held.closed);
  CHECK(scene.server->connections() <= 8);
  CHECK(scene.server->counters().room_cut >= 52);
}

TEST_CASE("a line over the bound closes its connection, a viewer that does not read is cut") {
  jsonlines::Limits limits;
  limits.unsent_bytes = 4096;
  Lines scene(limits);
  RawClient endless(scene.io, scene.server->local_endpoint());
  endless.send(std::string(20000, 'x'));
  CHECK(run_until(
      scene.io, [&] { return endless.closed; }, 2));
  asio::ip::tcp::socket deaf(scene.io);
  deaf.connect(scene.server->local_endpoint());
  asio::write(deaf, asio::buffer("{}\n", 3));
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  bool taken = true;
  for (int i = 0; i < 100000 && taken; ++i) {
    taken = scene.server->send(scene.lines[0].first, std::string(1000, 'y'));
    if (i % 4 == 3) run_for(scene.io, 0.0005);
  }
  CHECK_FALSE(taken);
  CHECK(run_until(
      scene.io, [&] { return scene.server->connections() == 0; }, 2));
}

TEST_CASE("a crowd of silent newcomers closes a connection that sessions stand by, and a release on its way "
          "is lost") {
  jsonlines::Limits limits;
  limits.connections = 4;
  Lines scene(limits);
  RawClient good(scene.io, scene.server->local_endpoint());
  good.send("{}\n");
  REQUIRE(run_until(scene.io, [&] { return scene.lines.size() == 1; }));
  scene.server->mark_trusted(scene.lines[0].first);
  run_for(scene.io, 0.1);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 12; ++i)
    crowd.push_back(std::make_unique<RawClient>(scene.io, scene.server->local_endpoint()));
  REQUIRE(run_until(
      scene.io, [&] { return scene.server->counters().accepted == 13; }, 2));
  CHECK(scene.server->counters().room_cut >= 9);
  CHECK_FALSE(good.closed);
}
