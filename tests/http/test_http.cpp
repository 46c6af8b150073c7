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
                   exchange->on_disconnect = [this] { ++gone; };
                   held.push_back(exchange);
                 } else if (request.path == "/stream") {
                   exchange->on_disconnect = [this] { ++gone; };
                   exchange->open_stream({});
                   held.push_back(exchange);
                 } else {
                   Response response;
                   response.headers.add("X-Path", request.path);
                   response.body = request.path + request.body;
                   exchange->respond(response);
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
  RawClient peer(echo.io, echo.server.local_endpoint());
  peer.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return !echo.held.empty(); }));
  run_for(echo.io, 0.05);
  CHECK(peer.received.empty());
  Response first;
  first.body = "first";
  echo.held[0]->respond(first);
  echo.held[0]->respond(first); // a second answer is none
  REQUIRE(run_until(echo.io, [&] { return peer.received.find("/b") != std::string::npos; }));
  CHECK(peer.received.find("first") < peer.received.find("X-Path: /b"));
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
    RawClient peer(echo.io, echo.server.local_endpoint());
    peer.send(row.text);
    REQUIRE(run_until(echo.io, [&] { return peer.closed; }));
    CHECK(peer.received.substr(0, 12) == (*row.status ? std::string("HTTP/1.1 ") + row.status : ""));
    CHECK(echo.server.connections() == 0);
  }
}

TEST_CASE("a peer that sends one byte at a time is cut though each byte is quick") {
  ServerLimits limits;
  limits.header_time = 0.4;
  Echo echo(limits);
  RawClient peer(echo.io, echo.server.local_endpoint());
  std::string text = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(200, 'y') + "\r\n\r\n";
  std::size_t sent = 0;
  while (!peer.closed && sent < text.size()) {
    peer.send(text.substr(sent++, 1));
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
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 400; ++i) {
    silent.push_back(std::make_unique<RawClient>(echo.io, echo.server.local_endpoint()));
    if (i % 16 == 0) run_for(echo.io, 0.005);
  }
  run_until(echo.io, [&] { return echo.server.counters().accepted == 400; });
  CHECK(echo.server.connections() <= 64);
  RawClient peer(echo.io, echo.server.local_endpoint());
  peer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(run_until(echo.io, [&] { return peer.count("200 OK") == 1; }));
}

TEST_CASE("out of descriptors on accept: those open go on, accepting comes back by itself") {
  Echo echo;
  RawClient before(echo.io, echo.server.local_endpoint());
  before.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return before.count("200 OK") == 1; }));
  RawClient waiting(echo.io, echo.server.local_endpoint()); // in the backlog
  rlimit was{};
  getrlimit(RLIMIT_NOFILE, &was);
  int probe = dup(0);
  close(probe);
  rlimit none{static_cast<rlim_t>(probe), was.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  run_for(echo.io, 0.15);
  auto faults = echo.server.counters().accept_faults;
  before.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool served = run_until(echo.io, [&] { return before.count("200 OK") == 2; });
  setrlimit(RLIMIT_NOFILE, &was);
  CHECK(faults > 0);
  CHECK(served);
  waiting.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(run_until(echo.io, [&] { return waiting.count("200 OK") == 1; }));
}

TEST_CASE("a peer that closes before its answer has left; a stream's reader that stops is cut") {
  ServerLimits limits;
  limits.unsent_stream_bytes = 64 << 10;
  Echo echo(limits);
  {
    RawClient peer(echo.io, echo.server.local_endpoint());
    peer.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(run_until(echo.io, [&] { return echo.held.size() == 1; }));
    peer.socket.close();
    run_until(echo.io, [&] { return echo.gone == 1 && peer.closed; });
  }
  CHECK(echo.gone == 1);
  asio::ip::tcp::socket reader(echo.io);
  reader.connect(echo.server.local_endpoint());
  asio::write(reader, asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")));
  REQUIRE(run_until(echo.io, [&] { return echo.held.size() == 2; }));
  bool open = true;
  for (int i = 0; i < 2000 && open; ++i) {
    open = echo.held[1]->write(std::string(8192, 'z'));
    echo.io.poll();
    echo.io.restart();
  }
  CHECK(!open);
  CHECK(echo.gone == 2);
  CHECK(echo.server.counters().stream_cut == 1);
}

TEST_CASE("draining answers what is in hand and closes the rest") {
  Echo echo;
  RawClient idle(echo.io, echo.server.local_endpoint()), busy(echo.io, echo.server.local_endpoint());
  idle.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  busy.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return !echo.held.empty() && idle.count("200") == 1; }));
  bool drained = false;
  echo.server.drain([&] { drained = true; });
  REQUIRE(run_until(echo.io, [&] { return idle.closed; }));
  CHECK(!drained);
  echo.held[0]->respond({});
  REQUIRE(run_until(echo.io, [&] { return drained; }));
  CHECK(run_until(echo.io, [&] { return busy.count("200 OK") == 1; }));
}

TEST_CASE("no name or title splits an answer or a request") {
  Response response;
  response.headers.add("Location", "/a\r\nSet-Cookie: b=1\r\n\r\n<html>");
  std::string text = write_response(response, true);
  CHECK(text.find("\r\nSet-Cookie") == std::string::npos);
  CHECK(percent_encode("a b/\r\n?%") == "a%20b%2F%0D%0A%3F%25");
  CHECK(percent_decode("a%20b%2F%0d%0A") == std::string("a b/\r\n"));
  CHECK(!percent_decode("%4"));
  CHECK(!percent_decode("%g0"));
}

TEST_CASE("a late answer is told apart and never taken for the next request's") {
  asio::io_context io;
  RawServer server(io);
  ClientLimits limits;
  limits.late_time = 2;
  Client client(io, limits);
  std::vector<EndReason> endings;
  std::vector<std::string> late, bodies;
  auto ask = [&](double time_out) {
    client.send(
        server.acceptor.local_endpoint(), get("/x"), time_out,
        [&](const Result &r) { endings.push_back(r.end_reason), bodies.push_back(r.response.body); },
        [&](const Response &r) { late.push_back(r.body); });
  };
  ask(0.1);
  REQUIRE(run_until(io, [&] { return endings.size() == 1; }));
  CHECK(endings[0] == EndReason::timed_out);
  ask(2);
  REQUIRE(run_until(
      io, [&] { return server.connections.size() == 2 && !server.connections[1]->received.empty(); }));
  RawServer::send(*server.connections[0], "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
  REQUIRE(run_until(io, [&] { return late.size() == 1; }));
  CHECK(endings.size() == 1);
  RawServer::send(*server.connections[1], "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  REQUIRE(run_until(io, [&] { return endings.size() == 2; }));
  CHECK(bodies[1] == "new");
  CHECK(late[0] == "old");
  ask(2); // both connections are free again
  REQUIRE(run_until(io, [&] { return client.counters().reused == 1; }));
}

TEST_CASE("each way a request can end is told for what it proves") {
  struct Row {
    const char *says; // nullptr: nothing; "close", "reset"
    EndReason ending;
  };
  for (Row row : {Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", EndReason::answered},
                  Row{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", EndReason::answered},
                  Row{"garbage\r\n\r\n", EndReason::malformed}, Row{"close", EndReason::reset},
                  Row{"reset", EndReason::reset},
                  Row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", EndReason::timed_out},
                  Row{nullptr, EndReason::timed_out}}) {
    CAPTURE(row.says ? row.says : "nothing");
    asio::io_context io;
    RawServer server(io);
    server.on_data = [&](RawServer::Connection &link) {
      if (!row.says) return;
      std::string says = row.says;
      if (says == "reset") link.socket.set_option(asio::socket_base::linger(true, 0));
      if (says == "reset" || says == "close") return link.socket.close();
      RawServer::send(link, says);
    };
    Client client(io, {});
    std::vector<EndReason> endings;
    client.send(server.acceptor.local_endpoint(), get("/"), 0.3,
                [&](const Result &r) { endings.push_back(r.end_reason); });
    REQUIRE(run_until(io, [&] { return !endings.empty(); }));
    run_for(io, 0.05);
    REQUIRE(endings.size() == 1);
    CHECK(endings[0] == row.ending);
  }
  asio::io_context io;
  Client client(io, {});
  Endpoint nobody;
  {
    asio::ip::tcp::acceptor gone(io, loopback());
    nobody = gone.local_endpoint();
  }
  int unreachable = 0;
  client.send(nobody, get("/"), 1,
              [&](const Result &r) { unreachable += r.end_reason == EndReason::unreachable; });
  CHECK(unreachable == 0); // never during send()
  CHECK(run_until(io, [&] { return unreachable == 1; }));
}

TEST_CASE("connections are bounded in number, cancel closes, a stream hands its data on") {
  Echo echo;
  ClientLimits limits;
  limits.connections_per_server = 2;
  Client client(echo.io, limits);
  std::vector<EndReason> endings;
  auto note = [&](const Result &r) { endings.push_back(r.end_reason); };
  auto first = client.send(echo.server.local_endpoint(), get("/hold"), 5, note);
  client.send(echo.server.local_endpoint(), get("/hold"), 5, note);
  client.send(echo.server.local_endpoint(), get("/hold"), 5, note);
  REQUIRE(run_until(echo.io, [&] { return endings.size() == 1 && echo.held.size() == 2; }));
  CHECK(endings[0] == EndReason::no_capacity);
  CHECK(client.cancel(first));
  CHECK(!client.cancel(first));
  CHECK(run_until(echo.io, [&] { return echo.gone == 1; }));
  std::string data;
  int heads = 0;
  client.stream(
      echo.server.local_endpoint(), get("/stream"), 1, [&](const Response &) { ++heads; },
      [&](std::string_view part) { data += part; }, note);
  REQUIRE(run_until(echo.io, [&] { return echo.held.size() == 3 && heads == 1; }));
  echo.held[2]->write("one\n");
  echo.held[2]->write("two\n");
  CHECK(run_until(echo.io, [&] { return data == "one\ntwo\n"; }));
  echo.held[2]->end_stream();
  CHECK(run_until(echo.io, [&] { return endings.size() == 2; }));
}
