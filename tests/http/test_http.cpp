#include "http/client.h"
#include "http/loop.h"
#include "http/server.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace snowshore::http;
using namespace snowshore::testing;

namespace {

struct Echo { // answers each path; /hold keeps the exchange, /stream opens one
  asio::io_context io;
  std::vector<std::shared_ptr<Exchange>> held;
  int gone = 0;
  Server server;
  explicit Echo(ServerLimits limits = {})
      : server(io, loopback(), limits,
               [this](const Request &request, const std::shared_ptr<Exchange> &exchange) {
                 if (request.path == "/hold") {
                   exchange->on_gone = [this] { ++gone; };
                   held.push_back(exchange);
                 } else if (request.path == "/stream") {
                   exchange->on_gone = [this] { ++gone; };
                   exchange->open_stream({});
                   held.push_back(exchange);
                 } else {
                   Response response;
                   response.headers.add("X-Path", request.path);
                   response.body = request.path + request.body;
                   exchange->answer(response);
                 }
               }) {}
};

Request get(const std::string &target) {
  Request request;
  request.target = target;
  return request;
}

} // namespace

TEST_CASE("pipelined requests are answered in order, the second waits for the first") {
  Echo echo;
  RawPeer peer(echo.io, echo.server.local());
  peer.say("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return !echo.held.empty(); }));
  run_for(echo.io, 0.05);
  CHECK(peer.heard.empty());
  Response first;
  first.body = "first";
  echo.held[0]->answer(first);
  echo.held[0]->answer(first); // a second answer is none
  REQUIRE(run_until(echo.io, [&] { return peer.heard.find("/b") != std::string::npos; }));
  CHECK(peer.heard.find("first") < peer.heard.find("X-Path: /b"));
  CHECK(peer.count("HTTP/1.1 200") == 2);
}

TEST_CASE("what is malformed, too long or too slow is refused by status and the connection closed") {
  ServerLimits limits;
  limits.header_time = 0.3;
  limits.idle_time = 0.3;
  struct Row {
    std::string text;
    const char *status; // "": closed without an answer
  };
  std::string big(1 << 20, 'x');
  for (const Row &row : {Row{"NONSENSE\r\n\r\n", "400"}, Row{"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
                         Row{"GET / HTTP/1.1\r\nX: " + big + "\r\n\r\n", "431"},
                         Row{"GET /" + big + " HTTP/1.1\r\n\r\n", "414"},
                         Row{"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413"},
                         Row{"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"},
                         Row{"GET / HTTP/1.1\r\nHos", "408"}, Row{"", ""}}) {
    CAPTURE(row.text.substr(0, 60));
    Echo echo(limits);
    RawPeer peer(echo.io, echo.server.local());
    peer.say(row.text);
    REQUIRE(run_until(echo.io, [&] { return peer.closed; }));
    CHECK(peer.heard.substr(0, 12) == (*row.status ? std::string("HTTP/1.1 ") + row.status : ""));
    CHECK(echo.server.connections() == 0);
  }
}

TEST_CASE("a peer that sends one byte at a time is cut though each byte is quick") {
  ServerLimits limits;
  limits.header_time = 0.4;
  Echo echo(limits);
  RawPeer peer(echo.io, echo.server.local());
  std::string text = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(200, 'y') + "\r\n\r\n";
  std::size_t sent = 0;
  while (!peer.closed && sent < text.size()) {
    peer.say(text.substr(sent++, 1));
    run_for(echo.io, 0.02);
  }
  CHECK(peer.closed);
  CHECK(sent < text.size());
  CHECK(echo.server.counters().slow_cut == 1);
}

TEST_CASE("connections that send nothing crowd out nobody who asks") {
  ServerLimits limits;
  limits.connections = 64;
  limits.header_time = 30;
  Echo echo(limits);
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (int i = 0; i < 400; ++i) {
    silent.push_back(std::make_unique<RawPeer>(echo.io, echo.server.local()));
    if (i % 16 == 0) run_for(echo.io, 0.005);
  }
  run_until(echo.io, [&] { return echo.server.counters().accepted == 400; });
  CHECK(echo.server.connections() <= 64);
  RawPeer peer(echo.io, echo.server.local());
  peer.say("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(run_until(echo.io, [&] { return peer.count("200 OK") == 1; }));
}

TEST_CASE("out of descriptors on accept: those open go on, accepting comes back by itself") {
  Echo echo;
  RawPeer before(echo.io, echo.server.local());
  run_until(echo.io, [&] { return echo.server.connections() == 1; });
  RawPeer waiting(echo.io, echo.server.local()); // in the backlog
  rlimit was{};
  getrlimit(RLIMIT_NOFILE, &was);
  int probe = dup(0);
  close(probe);
  rlimit none{static_cast<rlim_t>(probe), was.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  run_for(echo.io, 0.15);
  auto faults = echo.server.counters().accept_faults;
  before.say("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool served = run_until(echo.io, [&] { return before.closed || before.count("200 OK") == 1; });
  setrlimit(RLIMIT_NOFILE, &was);
