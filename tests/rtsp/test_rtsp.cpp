// Tests of the RTSP message reader, of how ends of set-ups and releases map to outcomes, and of Peer's
// shutdown.
#include "http/socket_helpers.h"
#include "platform/outcome_mapping.h"
#include "rtsp/message.h"
#include "rtsp/piece_pauses.h"

#include <catch2/catch.hpp>

using namespace snowshore;

namespace {

struct ReadResult {
  bool readable = true;
  // One entry for each message: its status or method, a blank and its body.
  std::vector<std::string> seen;
};

ReadResult read(std::string_view bytes, std::size_t piece) {
  rtsp::MessageReader reader;
  ReadResult out;
  auto record = [&](const rtsp::Message &message) {
    out.seen.push_back((message.status ? std::to_string(message.status) : message.method) + " " +
                       message.body);
  };
  for (std::size_t at = 0; at < bytes.size() && out.readable; at += piece)
    out.readable = reader.feed(bytes.substr(at, piece), record);
  reader.deliver_last(record);
  return out;
}

std::string answer(const std::string &body, const std::string &length = "") {
  return "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: " +
         (length.empty() ? std::to_string(body.size()) : length) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("RTSP messages are read alike however the bytes arrive; a syntax error ends the reader") {
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
      {"a truncated message", answer("v=0\r\n").substr(0, 60), true, {}},
      {"binary data", "\x01\x02\xffnoise\r\n\r\n", false, {}},
      {"another protocol's version",
       "TEARDOWN rtsp://media/s HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
       false,
       {}},
      {"no Content-Length", "RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n", false, {}},
      {"a negative Content-Length", answer("abc", "-3"), false, {}},
      {"a Content-Length of 3 GB", answer("abc", "3221225472"), false, {}},
      {"a Content-Length that is not a number", answer("abc", "3x"), false, {}},
      {"a repeated Content-Length", answer("", "0\r\nContent-Length: 0"), false, {}},
      {"an endless line", "RTSP/1.0 200 " + std::string(20000, 'x'), false, {}},
      {"an endless head",
       "RTSP/1.0 200 OK\r\n" + std::string(9000, 'a') + ": 1\r\n" + std::string(9000, 'b'),
       false,
       {}},
      {"a body over the size limit", answer(std::string(16384, 'x')), false, {}},
      {"a status that is not a number", "RTSP/1.0 9OO OK\r\nContent-Length: 0\r\n\r\n", false, {}},
      {"a header without a name", "RTSP/1.0 200 OK\r\n: x\r\nContent-Length: 0\r\n\r\n", false, {}},
      {"a body beyond ASCII", answer("s=gr\xc3\xbcn\r\n"), true, {"200 s=gr\xc3\xbcn\r\n"}},
      {"a body that is not UTF-8", answer("v=0\r\n\xe4\xff\r\n"), false, {}},
      {"a body with an overlong encoding", answer("v=\xc0\xaf\r\n"), false, {}},
      {"a body with a surrogate", answer("v=\xed\xa0\x80\r\n"), false, {}},
      {"a body that ends inside a character", answer("v=\xc3"), false, {}},
      {"a header value that is not UTF-8",
       "RTSP/1.0 200 OK\r\nX: a\xff\r\nContent-Length: 0\r\n\r\n",
       false,
       {}},
      {"control characters", "RTSP/1.0 200 OK\r\nX: a\x01\r\nContent-Length: 0\r\n\r\n", false, {}},
  };
  for (const Row &row : rows) {
    CAPTURE(row.name);
    for (std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{64}, row.bytes.size()}) {
      CAPTURE(piece);
      ReadResult result = read(row.bytes, piece);
      CHECK(result.readable == row.readable);
      CHECK(result.seen == row.seen);
    }
  }
}

TEST_CASE("a response with a wrong Content-Length is not delivered when what follows arrived with it") {
  std::string bytes = answer("a description", "5");
  ReadResult result = read(bytes, bytes.size());
  CHECK_FALSE(result.readable);
  CHECK(result.seen.empty());
}

namespace {

// A description in the form that servers use, and a note that may follow its answer.
const std::string kDescription =
    "5e55039dd09e15ba\r\nc=IN IP4 127.0.0.1\r\nm=video 41187 RTP/AVP 96 97 98\r\n";
const std::string kNote = "ANNOUNCE rtsp://media/note RTSP/1.0\r\nCSeq: 5\r\nSession: 9b1f03aa5c7e2d41\r\n"
                          "X-Outcome: link\r\nP-Amount: 0.1\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a client that is served a description that is cut off or has the start of a note in it.
TEST_CASE("a response whose Content-Length does not fit is never delivered, wherever its bytes are cut") {
  for (std::size_t stated = 0; stated < kDescription.size() + kNote.size(); ++stated) {
    if (stated == kDescription.size()) continue;
    CAPTURE(stated);
    std::string bytes = answer(kDescription, std::to_string(stated));
    for (const std::string &all : {bytes, bytes + kNote}) {
      for (std::size_t piece : {std::size_t{1}, std::size_t{3}, bytes.size(), all.size()}) {
        CAPTURE(piece, all.size());
        CHECK(read(all, piece).seen.empty());
      }
    }
  }
}

TEST_CASE("a written RTSP message is read back unchanged") {
  rtsp::Message message;
  message.method = "SETUP", message.uri = "rtsp://media/7f3a9c21e0b4d655", message.body = "x\r\ny\r\n";
  message.add_header("CSeq", "1");
  rtsp::MessageReader reader;
  int seen = 0;
  auto compare = [&](const rtsp::Message &back) {
    ++seen;
    CHECK(back.uri == message.uri);
    CHECK(back.body == message.body);
    CHECK(back.find_header("cseq") == std::optional<std::string_view>("1"));
  };
  CHECK(reader.feed(rtsp::write_message(message), compare));
  reader.deliver_last(compare);
  CHECK(seen == 1);
}

TEST_CASE("each end of a set-up maps to one outcome") {
  using rtsp::EndReason;
  struct Row {
    EndReason end;
    // 0: a TEARDOWN request; -1: no message.
    int status;
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

TEST_CASE("the release of an established play maps to an outcome by its cause") {
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

TEST_CASE("a peer that was shut down raises no more events, whatever its server and its timers do") {
  asio::io_context io;
  testing::RawServer server(io);
  rtsp::Timeouts timeouts;
  // maintain() would close the idle connection and report it.
  timeouts.idle = 0.2;
  rtsp::Limits limits;
  rtsp::PeerCounters counters;
  int events = 0;
  rtsp::Peer::Events handlers;
  handlers.on_set_up_ended = [&](std::uint64_t, rtsp::EndReason, const rtsp::Message *, double) { ++events; };
  handlers.on_request = [&](std::uint64_t, const rtsp::Message &) { ++events; };
  handlers.on_probe_ended = [&](rtsp::EndReason, const rtsp::Message *) { ++events; };
  handlers.on_data = [&](double) { ++events; };
  handlers.on_connected = [&] { ++events; };
  handlers.on_disconnected = [&](rtsp::EndReason, bool) { ++events; };
  handlers.may_connect = [] { return true; };
  handlers.has_session = [](std::uint64_t) { return false; };
  rtsp::Peer peer(io, server.acceptor.local_endpoint(), timeouts, limits, counters, 7, std::move(handlers));
  rtsp::SetUpRequest set_up;
  set_up.session = 0x9b1f03aa5c7e2d41, set_up.title = "7f3a9c21e0b4d655", set_up.tier = "clip",
  set_up.timeout = 0.1;
  peer.set_up(set_up);
  peer.probe();
  REQUIRE(testing::run_until(
      io, [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); }));
  testing::RawServer::send(*server.connections[0], answer("v=0\r\n"));
  int before = events;
  // The connection was established.
  CHECK(before > 0);
  peer.shut_down();
  testing::run_for(io, 0.5);
  peer.maintain();
  CHECK(events == before);
}

namespace {

// A peer with a scripted server. Members run the event loop on the calling thread.
struct PeerScene {
  asio::io_context io;
  testing::RawServer server{io};
  rtsp::Timeouts timeouts;
  rtsp::Limits limits;
  rtsp::PeerCounters counters;
  // How the set-up ended, and the body of its answer.
  std::optional<rtsp::EndReason> end;
  std::string description;
  // Methods of received requests.
  std::vector<std::string> requests;
  std::unique_ptr<rtsp::Peer> peer;
  static constexpr std::uint64_t kSession = 0x9b1f03aa5c7e2d41;

  PeerScene() {
    rtsp::Peer::Events handlers;
    handlers.on_set_up_ended = [this](std::uint64_t, rtsp::EndReason reason, const rtsp::Message *message,
                                      double) {
      end = reason;
      if (message) description = message->body;
    };
    handlers.on_request = [this](std::uint64_t, const rtsp::Message &message) {
      requests.push_back(message.method);
    };
    handlers.on_probe_ended = [](rtsp::EndReason, const rtsp::Message *) {};
    handlers.on_data = [](double) {};
    handlers.on_connected = [] {};
    handlers.on_disconnected = [](rtsp::EndReason, bool) {};
    handlers.may_connect = [] { return true; };
    handlers.has_session = [](std::uint64_t) { return false; };
    peer = std::make_unique<rtsp::Peer>(io, server.acceptor.local_endpoint(), timeouts, limits, counters, 7,
                                        std::move(handlers));
    rtsp::SetUpRequest set_up;
    set_up.session = kSession, set_up.title = "7f3a9c21e0b4d655", set_up.tier = "clip", set_up.timeout = 2;
    peer->set_up(set_up);
    if (!testing::run_until(
            io, [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); }))
      throw std::runtime_error("the server received no set-up");
  }
  // Sends the bytes in pieces of this size with a pause after each, in seconds.
  void send(std::string_view bytes, std::size_t piece, double pause) {
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      testing::RawServer::send(*server.connections[0], std::string(bytes.substr(at, piece)));
      testing::run_for(io, pause);
    }
  }
  // Runs until the set-up has ended; maintain() closes connections with incomplete messages.
  bool until_ended() {
    return testing::run_until(
        io,
        [&] {
          peer->maintain();
          return end.has_value();
        },
        1);
  }
};

} // namespace

// Guards against a client that is served the part of a description that arrived first.
TEST_CASE("peer: a slow answer whose length is too short is not delivered at any of its pieces") {
  // The rest begins like a method, like another method, like a status line, and like none.
  for (const char *rest : {"P 96", "AVP 96", "RTP/AVP", "m=video"}) {
    std::size_t stated = kDescription.find(rest);
    for (std::size_t piece : {std::size_t{1}, std::size_t{4}, answer(kDescription, "60").size()}) {
      CAPTURE(rest, piece);
      PeerScene scene;
      scene.send(answer(kDescription, std::to_string(stated)), piece, 0.0005);
      REQUIRE(scene.until_ended());
      CHECK(scene.end == rtsp::EndReason::unreadable);
      CHECK(scene.description.empty());
    }
  }
}

TEST_CASE("peer: a note that fills up an answer whose length is too long is not taken for its end") {
  for (std::size_t excess : {std::size_t{1}, std::size_t{6}, std::size_t{9}, std::size_t{40}}) {
    CAPTURE(excess);
    PeerScene scene;
    scene.send(answer(kDescription, std::to_string(kDescription.size() + excess)), 1000, 0.02);
    scene.send(kNote, 1000, 0.02);
    REQUIRE(scene.until_ended());
    CHECK(scene.end == rtsp::EndReason::unreadable);
  }
}

// Guards against answers that are delayed without need, and against a hold that ends between two slow pieces.
TEST_CASE("a message is held for longer than the pauses between its pieces, and not at all in one piece") {
  rtsp::PiecePauses pauses;
  pauses.piece_received(10, false);
  CHECK(pauses.settle_time() == 0);
  pauses.piece_received(10.02, true);
  pauses.piece_received(10.021, true);
  CHECK(pauses.settle_time() > 0.02);
  pauses.piece_received(10.221, true);
  // Well within the time limit of an answer.
  CHECK(pauses.settle_time() <= 0.1);
  pauses.piece_received(11, false);
  CHECK(pauses.settle_time() == 0);
}

// Guards against answers that are held back for good, or lost, since nothing follows them.
TEST_CASE(
    "peer: a good answer is delivered however it arrives, and also when its connection ends behind it") {
  bool closes = GENERATE(false, true);
  for (std::size_t piece : {std::size_t{1}, std::size_t{50}, std::size_t{10000}}) {
    CAPTURE(piece, closes);
    PeerScene scene;
    scene.send(answer(kDescription), piece, 0.0005);
    if (closes) scene.server.connections[0]->socket.close();
    REQUIRE(scene.until_ended());
    CHECK(scene.end == rtsp::EndReason::answered);
    CHECK(scene.description == kDescription);
  }
}

// Guards against a release that is never told: a server says it on one more connection at most.
TEST_CASE("peer: a slow release is cut off although nothing else waits on its connection") {
  PeerScene scene;
  scene.send(answer(kDescription), 1000, 0.01);
  REQUIRE(scene.until_ended());
  std::string release = "TEARDOWN rtsp://media/s RTSP/1.0\r\nCSeq: 2\r\nSession: 9b1f03aa5c7e2d41\r\n"
                        "Reason: cause=16\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t at = 0; at < release.size(); at += 20) {
    scene.send(release.substr(at, 20), 20, 0.1);
    scene.peer->maintain();
  }
  CHECK(testing::run_until(
      scene.io, [&] { return scene.requests == std::vector<std::string>{"TEARDOWN"}; }, 0.5));
}

TEST_CASE("peer: messages that follow each other in pieces are all delivered") {
  PeerScene scene;
  scene.send(answer(kDescription) + kNote + kNote, 100, 0.001);
  CHECK(testing::run_until(
      scene.io, [&] { return scene.requests.size() == 2; }, 1));
  CHECK(scene.description == kDescription);
}

TEST_CASE("peer: an answer that fills the read buffer and whose length is too short is not delivered") {
  PeerScene scene;
  // The stated end is where the first read ends.
  std::string filler(4096 - answer("", "4000").size(), 'x');
  scene.send(answer(filler + "AVP 96\r\n", std::to_string(filler.size())), 10000, 0.05);
  REQUIRE(scene.until_ended());
  CHECK(scene.end == rtsp::EndReason::unreadable);
}
