#include "http/loop.h"
#include "platform/ends.h"
#include "rtsp/message.h"

#include <catch2/catch.hpp>

using namespace snowshore;

namespace {

struct Read {
  bool readable = true;
  std::vector<std::string> seen; // "200 body", "TEARDOWN body"
};

Read read(std::string_view bytes, std::size_t piece) {
  rtsp::MessageReader reader;
  Read out;
  for (std::size_t at = 0; at < bytes.size() && out.readable; at += piece)
    out.readable = reader.feed(bytes.substr(at, piece), [&](const rtsp::Message &message) {
      out.seen.push_back((message.status ? std::to_string(message.status) : message.method) + " " +
                         message.body);
    });
  return out;
}

std::string answer(const std::string &body, const std::string &length = "") {
  return "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: " +
         (length.empty() ? std::to_string(body.size()) : length) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("RTSP messages are read whole, in any pieces; what can't be read ends the reader") {
  struct Row {
    const char *name;
    std::string bytes;
    bool readable;
    std::vector<std::string> seen;
  };
  std::string release = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 9b1f03aa5c7e2d41\r\n"
                        "Reason: cause=16\r\nContent-Length: 0\r\n\r\n";
  const Row rows[] = {
      {"two messages", answer("v=0\r\n") + release, true, {"200 v=0\r\n", "TEARDOWN "}},
      {"half a message", answer("v=0\r\n").substr(0, 60), true, {}},
      {"noise", "\x01\x02\xffnoise\r\n\r\n", false, {}},
      {"no version", "TEARDOWN rtsp://media/s HTTP/1.1\r\nContent-Length: 0\r\n\r\n", false, {}},
      {"no length", "RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n", false, {}},
      {"a negative length", answer("abc", "-3"), false, {}},
      {"a length of 3 GB", answer("abc", "3221225472"), false, {}},
      {"a length that is no number", answer("abc", "3x"), false, {}},
      {"a length said twice", answer("", "0\r\nContent-Length: 0"), false, {}},
      {"a line without end", "RTSP/1.0 200 " + std::string(20000, 'x'), false, {}},
      {"a head without end",
       "RTSP/1.0 200 OK\r\n" + std::string(9000, 'a') + ": 1\r\n" + std::string(9000, 'b'),
       false,
       {}},
      {"a body over the bound", answer(std::string(16384, 'x')), false, {}},
      {"a status of the wrong kind", "RTSP/1.0 9OO OK\r\nContent-Length: 0\r\n\r\n", false, {}},
      {"a header without a name", "RTSP/1.0 200 OK\r\n: x\r\nContent-Length: 0\r\n\r\n", false, {}},
      {"control characters", "RTSP/1.0 200 OK\r\nX: a\x01\r\nContent-Length: 0\r\n\r\n", false, {}},
  };
  for (const Row &row : rows) {
    CAPTURE(row.name);
    for (std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{64}, row.bytes.size()}) {
      CAPTURE(piece);
      Read got = read(row.bytes, piece);
      CHECK(got.readable == row.readable);
      CHECK(got.seen == row.seen);
    }
  }
}

TEST_CASE("an answer whose length does not fit what follows is not told where both came at once") {
  std::string bytes = answer("a description", "5");
  Read got = read(bytes, bytes.size());
  CHECK_FALSE(got.readable);
  CHECK(got.seen.empty());
}

TEST_CASE("what is written is read back") {
  rtsp::Message message;
  message.method = "SETUP", message.uri = "rtsp://media/7f3a9c21e0b4d655", message.body = "x\r\ny\r\n";
  message.add_header("CSeq", "1");
  rtsp::MessageReader reader;
  int seen = 0;
  CHECK(reader.feed(rtsp::write_message(message), [&](const rtsp::Message &back) {
    ++seen;
    CHECK(back.uri == message.uri);
    CHECK(back.body == message.body);
    CHECK(back.find_header("cseq") == std::optional<std::string_view>("1"));
  }));
  CHECK(seen == 1);
}

TEST_CASE("each end of a set-up has one outcome") {
  using rtsp::EndReason;
  struct Row {
    EndReason end;
    int status; // 0: a release, -1: no message
    Outcome outcome;
    bool started;
  };
  for (Row row :
       {Row{EndReason::answered, 200, Outcome::done, true},
        Row{EndReason::answered, 453, Outcome::busy, false},
        Row{EndReason::answered, 500, Outcome::error, false},
        Row{EndReason::answered, 454, Outcome::skipped, false},
        Row{EndReason::answered, 504, Outcome::reset, false},
        Row{EndReason::answered, 302, Outcome::error, false},
        Row{EndReason::answered, 0, Outcome::reset, false},
        Row{EndReason::connection_refused, -1, Outcome::unreachable, false},
        Row{EndReason::connect_failed, -1, Outcome::unreachable, false},
        Row{EndReason::closed, -1, Outcome::reset, false}, Row{EndReason::reset, -1, Outcome::reset, false},
        Row{EndReason::unreadable, -1, Outcome::error, false},
        Row{EndReason::timed_out, -1, Outcome::timed_out, false},
        Row{EndReason::no_capacity, -1, Outcome::skipped, false}}) {
    CAPTURE(rtsp::kEndReasonNames[static_cast<int>(row.end)], row.status);
    rtsp::Message message;
    message.status = std::max(row.status, 0);
    auto end = platform::set_up_outcome(row.end, row.status < 0 ? nullptr : &message);
    CHECK(end.outcome == row.outcome);
    CHECK(end.started == row.started);
  }
}

TEST_CASE("a release of a play that stands has one outcome by its cause") {
  struct Row {
    const char *reason;
    Outcome outcome;
  };
  for (Row row :
       {Row{"cause=16", Outcome::done}, Row{"cause=41", Outcome::reset}, Row{"cause=31", Outcome::recalled},
        Row{"cause=99", Outcome::reset}, Row{"cause=", Outcome::reset}, Row{"", Outcome::reset}}) {
    CAPTURE(row.reason);
    rtsp::Message message;
    message.add_header("Reason", row.reason);
    CHECK(platform::release_outcome(platform::release_cause(message).value_or(platform::kCauseFailed)) ==
          row.outcome);
  }
}

TEST_CASE("a peer that is shut says nothing more, whatever its server and its timers still do") {
  asio::io_context io;
  testing::RawServer server(io);
  rtsp::Timeouts times;
  times.idle = 0.2; // a look would close the connection, and tell of it
  rtsp::Limits limits;
  rtsp::PeerCounters counters;
  int events = 0;
  rtsp::Peer::Events told;
  told.on_set_up_ended = [&](std::uint64_t, rtsp::EndReason, const rtsp::Message *, double) { ++events; };
  told.on_request = [&](std::uint64_t, const rtsp::Message &) { ++events; };
  told.on_probe_ended = [&](rtsp::EndReason, const rtsp::Message *) { ++events; };
  told.on_data = told.on_connected = [&] { ++events; };
  told.on_disconnected = [&](rtsp::EndReason, bool) { ++events; };
  told.may_connect = [] { return true; };
  told.has_session = [](std::uint64_t) { return false; };
  rtsp::Peer peer(io, server.acceptor.local_endpoint(), times, limits, counters, 7, std::move(told));
  rtsp::SetUpRequest set_up;
  set_up.session = 0x9b1f03aa5c7e2d41, set_up.title = "7f3a9c21e0b4d655", set_up.tier = "clip",
  set_up.timeout = 0.1;
  peer.set_up(set_up);
  peer.probe();
  REQUIRE(testing::run_until(
      io, [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); }));
  testing::RawServer::send(*server.connections[0], answer("v=0\r\n"));
  int before = events;
  CHECK(before > 0); // it came up
  peer.shut_down();
  testing::run_for(io, 0.5);
  peer.maintain();
  CHECK(events == before);
}
