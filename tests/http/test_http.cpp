// Tests of the HTTP server, the HTTP client and the writers of messages.
#include "http/client.h"
#include "http/server.h"
#include "http/socket_helpers.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace snowshore::http;
using namespace snowshore::testing;

namespace {

// Responds with the path and the body of each request. /hold keeps the exchange open, /stream opens a stream.
struct EchoServer {
  asio::io_context io;
  std::vector<std::shared_ptr<Exchange>> held;
  int disconnects = 0;
  Server server;
  explicit EchoServer(ServerLimits limits = {})
      : server(io, loopback(), limits,
               [this](const Request &request, const std::shared_ptr<Exchange> &exchange) {
                 if (request.path == "/hold") {
                   exchange->on_disconnect = [this] { ++disconnects; };
                   held.push_back(exchange);
                 } else if (request.path == "/stream") {
                   exchange->on_disconnect = [this] { ++disconnects; };
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

TEST_CASE("pipelined requests are handled one at a time and answered in order") {
  EchoServer echo;
  RawClient peer(echo.io, echo.server.local_endpoint());
  peer.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return !echo.held.empty(); }));
  run_for(echo.io, 0.05);
  CHECK(peer.received.empty());
  Response first;
  first.body = "first";
  echo.held[0]->respond(first);
  // A second response to the same request has no effect.
  echo.held[0]->respond(first);
  REQUIRE(run_until(echo.io, [&] { return peer.received.find("/b") != std::string::npos; }));
  CHECK(peer.received.find("first") < peer.received.find("X-Path: /b"));
  CHECK(peer.count("HTTP/1.1 200") == 2);
}

TEST_CASE("a malformed, oversized or slow request is refused and its connection closed") {
  ServerLimits limits;
  limits.header_time = 0.3;
  limits.idle_time = 0.3;
  struct Row {
    std::string text;
    // Empty when the connection is closed without a response.
    const char *status;
  };
  std::string big(1 << 20, 'x');
  for (const Row &row : {Row{"NONSENSE\r\n\r\n", "400"}, Row{"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
                         Row{"GET / HTTP/1.1\r\nX: " + big + "\r\n\r\n", "431"},
                         Row{"GET /" + big + " HTTP/1.1\r\n\r\n", "414"},
                         Row{"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413"},
                         Row{"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"},
                         Row{"GET / HTTP/1.1\r\nHos", "408"}, Row{"", ""}}) {
    CAPTURE(row.text.substr(0, 60));
    EchoServer echo(limits);
    RawClient peer(echo.io, echo.server.local_endpoint());
    peer.send(row.text);
    REQUIRE(run_until(echo.io, [&] { return peer.closed; }));
    CHECK(peer.received.substr(0, 12) == (*row.status ? std::string("HTTP/1.1 ") + row.status : ""));
    CHECK(echo.server.connections() == 0);
  }
}

TEST_CASE("a request sent byte by byte is refused at the time limit for the whole request") {
  ServerLimits limits;
  limits.header_time = 0.4;
  EchoServer echo(limits);
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

TEST_CASE("idle connections at the limit do not keep out a client with a request") {
  ServerLimits limits;
  limits.connections = 64;
  limits.header_time = 30;
  EchoServer echo(limits);
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

TEST_CASE("without free descriptors open connections are served, and accepting resumes later") {
  EchoServer echo;
  RawClient before(echo.io, echo.server.local_endpoint());
  before.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(run_until(echo.io, [&] { return before.count("200 OK") == 1; }));
  // Stays in the listen queue until a descriptor is free.
  RawClient waiting(echo.io, echo.server.local_endpoint());
  rlimit original{};
  getrlimit(RLIMIT_NOFILE, &original);
  int next_descriptor = dup(0);
  close(next_descriptor);
  rlimit none{static_cast<rlim_t>(next_descriptor), original.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  run_for(echo.io, 0.15);
  auto faults = echo.server.counters().accept_faults;
  before.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool served = run_until(echo.io, [&] { return before.count("200 OK") == 2; });
  setrlimit(RLIMIT_NOFILE, &original);
  CHECK(faults > 0);
  CHECK(served);
  waiting.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(run_until(echo.io, [&] { return waiting.count("200 OK") == 1; }));
}

TEST_CASE("on_disconnect reports a client that closes early and a stream reader that does not read") {
  ServerLimits limits;
  limits.unsent_stream_bytes = 64 << 10;
  EchoServer echo(limits);
  {
    RawClient peer(echo.io, echo.server.local_endpoint());
    peer.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(run_until(echo.io, [&] { return echo.held.size() == 1; }));
    peer.socket.close();
    run_until(echo.io, [&] { return echo.disconnects == 1 && peer.closed; });
  }
  CHECK(echo.disconnects == 1);
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
  CHECK(echo.disconnects == 2);
  CHECK(echo.server.counters().stream_cut == 1);
}

TEST_CASE("drain answers the request being handled and closes idle connections") {
  EchoServer echo;
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

TEST_CASE("line ends in a value cannot add headers to a response or a request") {
  Response response;
  response.headers.add("Location", "/a\r\nSet-Cookie: b=1\r\n\r\n<html>");
  std::string text = write_response(response, true);
  CHECK(text.find("\r\nSet-Cookie") == std::string::npos);
  CHECK(percent_encode("a b/\r\n?%") == "a%20b%2F%0D%0A%3F%25");
  CHECK(percent_decode("a%20b%2F%0d%0A") == std::string("a b/\r\n"));
  CHECK(!percent_decode("%4"));
  CHECK(!percent_decode("%g0"));
}

TEST_CASE("a late response is not taken for the response to the next request") {
  asio::io_context io;
  RawServer server(io);
  ClientLimits limits;
  limits.late_time = 2;
  Client client(io, limits);
  std::vector<EndReason> end_reasons;
  std::vector<std::string> late, bodies;
  auto ask = [&](double time_out) {
    client.send(
        server.acceptor.local_endpoint(), get("/x"), time_out,
        [&](const Result &r) { end_reasons.push_back(r.end_reason), bodies.push_back(r.response.body); },
        [&](const Response &r) { late.push_back(r.body); });
  };
  ask(0.1);
  REQUIRE(run_until(io, [&] { return end_reasons.size() == 1; }));
  CHECK(end_reasons[0] == EndReason::timed_out);
  ask(2);
  REQUIRE(run_until(
      io, [&] { return server.connections.size() == 2 && !server.connections[1]->received.empty(); }));
  RawServer::send(*server.connections[0], "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
  REQUIRE(run_until(io, [&] { return late.size() == 1; }));
  CHECK(end_reasons.size() == 1);
  RawServer::send(*server.connections[1], "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  REQUIRE(run_until(io, [&] { return end_reasons.size() == 2; }));
  CHECK(bodies[1] == "new");
  CHECK(late[0] == "old");
  // Both connections are idle again.
  ask(2);
  REQUIRE(run_until(io, [&] { return client.counters().reused == 1; }));
}

TEST_CASE("each way in which a request can end has its own end reason") {
  struct Row {
    // The bytes that the server sends; "close" and "reset" end the connection, nullptr sends nothing.
    const char *response;
    EndReason end_reason;
  };
  for (Row row : {Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", EndReason::answered},
                  Row{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", EndReason::answered},
                  Row{"garbage\r\n\r\n", EndReason::malformed}, Row{"close", EndReason::reset},
                  Row{"reset", EndReason::reset},
                  Row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", EndReason::timed_out},
                  Row{nullptr, EndReason::timed_out}}) {
    CAPTURE(row.response ? row.response : "nothing");
    asio::io_context io;
    RawServer server(io);
    server.on_data = [&](RawServer::Connection &connection) {
      if (!row.response) return;
      std::string response = row.response;
      if (response == "reset") connection.socket.set_option(asio::socket_base::linger(true, 0));
      if (response == "reset" || response == "close") return connection.socket.close();
      RawServer::send(connection, response);
    };
    Client client(io, {});
    std::vector<EndReason> end_reasons;
    client.send(server.acceptor.local_endpoint(), get("/"), 0.3,
                [&](const Result &r) { end_reasons.push_back(r.end_reason); });
    REQUIRE(run_until(io, [&] { return !end_reasons.empty(); }));
    run_for(io, 0.05);
    REQUIRE(end_reasons.size() == 1);
    CHECK(end_reasons[0] == row.end_reason);
  }
  asio::io_context io;
  Client client(io, {});
  Endpoint unused;
  {
    asio::ip::tcp::acceptor closed(io, loopback());
    unused = closed.local_endpoint();
  }
  int unreachable = 0;
  client.send(unused, get("/"), 1,
              [&](const Result &r) { unreachable += r.end_reason == EndReason::unreachable; });
  // No callback is called during send().
  CHECK(unreachable == 0);
  CHECK(run_until(io, [&] { return unreachable == 1; }));
}

TEST_CASE("the client limits connections, cancels requests and delivers streamed data") {
  EchoServer echo;
  ClientLimits limits;
  limits.connections_per_server = 2;
  Client client(echo.io, limits);
  std::vector<EndReason> end_reasons;
  auto record = [&](const Result &r) { end_reasons.push_back(r.end_reason); };
  auto first = client.send(echo.server.local_endpoint(), get("/hold"), 5, record);
  client.send(echo.server.local_endpoint(), get("/hold"), 5, record);
  client.send(echo.server.local_endpoint(), get("/hold"), 5, record);
  REQUIRE(run_until(echo.io, [&] { return end_reasons.size() == 1 && echo.held.size() == 2; }));
  CHECK(end_reasons[0] == EndReason::no_capacity);
  CHECK(client.cancel(first));
  CHECK(!client.cancel(first));
  CHECK(run_until(echo.io, [&] { return echo.disconnects == 1; }));
  std::string data;
  int heads = 0;
  client.stream(
      echo.server.local_endpoint(), get("/stream"), 1, [&](const Response &) { ++heads; },
      [&](std::string_view part) { data += part; }, record);
  REQUIRE(run_until(echo.io, [&] { return echo.held.size() == 3 && heads == 1; }));
  echo.held[2]->write("one\n");
  echo.held[2]->write("two\n");
  CHECK(run_until(echo.io, [&] { return data == "one\ntwo\n"; }));
  echo.held[2]->end_stream();
  CHECK(run_until(echo.io, [&] { return end_reasons.size() == 2; }));
}
