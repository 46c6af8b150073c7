// What ends things, at the instant in which something is still owed: each case forces the bad order by steps
// that wait for one another. The rows are those of docs/endings.md.
#include "folder.h"
#include "platform/scene.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// Doors that note how much of the log was written when an answer left.
struct NotingDoors : edge::PlayerGateway, edge::ServerGateway {
  std::string log_file;
  edge::Core *core = nullptr;
  std::vector<std::string> logged; // at each answer
  int allocated = -1;
  void note() {
    std::ifstream in(log_file);
    logged.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  void send_set_up_result(int, const edge::SetUpResult &) override { note(); }
  void send_decline(int, double) override { note(); }
  void send_failure(int) override { note(); }
  void send_move(int) override {}
  void send_end(int, Outcome) override {}
  void forget_play(int) override {}
  void start_set_up(int play, const edge::Allocation &) override { allocated = play; }
  void cancel_set_up(int, std::string_view) override {}
  void play_handed_over(int) override {}
  void change_rung(int, int) override {}
  void end_play(int, std::string_view) override {}
  void probe_server(int) override {}
  void update_server(int, const edge::ListedServer &) override {}
  void forget_server(int) override {}
};

// A viewer's socket that is read only when the case says so, with a small buffer.
struct SlowPeer {
  asio::ip::tcp::socket socket;
  std::string heard;
  SlowPeer(asio::io_context &io, const asio::ip::tcp::endpoint &to) : socket(io) {
    socket.open(to.protocol());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(to);
    socket.non_blocking(true);
  }
  void say(const std::string &text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  bool read() { // what is there; false once the other side has ended
    char buffer[65536];
    asio::error_code error;
    while (std::size_t n = socket.read_some(asio::buffer(buffer), error)) heard.append(buffer, n);
    return error == asio::error::would_block;
  }
  std::size_t count(const std::string &part) const {
    std::size_t n = 0;
    for (std::size_t at = heard.find(part); at != std::string::npos; at = heard.find(part, at + 1)) ++n;
    return n;
  }
};

std::string echo() {
  return R"({"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0})"
         "\n";
}

// Answers stay unsent at the front: the peer's and the front's buffers are full.
std::size_t fill(PlatformScene &scene, SlowPeer &peer) {
  std::size_t asked = 0;
  while (scene.front->viewers().unsent_bytes() < 4096) {
    std::string all;
    for (int i = 0; i < 16; ++i, ++asked) all += echo();
    peer.say(all);
    if (!scene.until([&] { return scene.front->viewers().counters().tests == asked; }))
      throw std::runtime_error("a test was not heard");
  }
  return asked;
}

nlohmann::json with_roomy_memory(nlohmann::json config) { // so that a viewer that does not read is not cut
  config["limits"]["memory_mb"] = 1024;
  return config;
}

void restart(PlatformScene &scene, const nlohmann::json &config) {
  scene.front.reset();
  scene.config = config;
  scene.front = std::make_unique<platform::PlatformFront>(
      scene.io, platform::parse_node_config(config.dump()), scene.log);
  scene.run(0.25);
}

} // namespace

TEST_CASE("drain: an answer still unsent holds up the exit, and arrives whole") {
  PlatformScene scene(1);
  restart(scene, with_roomy_memory(scene.config));
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  std::size_t asked = fill(scene, peer);
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(1.0);
  CHECK_FALSE(done);
  bool open = true;
  scene.until([&] { return !(open = peer.read()) || done; }, 2);
  CHECK(scene.until([&] { return done; }, 1));
  scene.front.reset();
  peer.read();
  CHECK(peer.count("ECHOED") == asked);
  CHECK(peer.heard.ends_with("}\n"));
}

TEST_CASE("drain: a viewer that never reads holds it up, but not past the earliest kill") {
  PlatformScene scene(1);
  restart(scene, with_roomy_memory(scene.config));
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  fill(scene, peer);
  bool done = false;
  scene.front->drain([&] { done = true; });
  CHECK_FALSE(scene.until([&] { return done; }, 1.6));
  CHECK(scene.until([&] { return done; }, 0.3)); // 0.7 s and the limit of 1.2 s
}

TEST_CASE("drain: a connection that the system accepted with a whole request is answered") {
  PlatformScene scene(1, "unsafe"); // set up once, for as long as its viewer waits
  scene.servers[0]->how = "silent";
  nlohmann::json config = scene.config;
  config["limits"]["sockets"] = 32;
  config["settings"]["family_info"]["link_unit_kb"] = 400000;
  restart(scene, config);
  std::size_t room = platform::compute_resource_limits(32, 48).viewer_descriptors;
  std::vector<RawClient *> held;
  for (std::size_t i = 0; i < room; ++i) { // every place is taken by an open request
    held.push_back(&scene.viewer());
    held.back()->send(PlatformScene::start(scene.next_tag()));
  }
  REQUIRE(scene.until([&] { return scene.front->core().unanswered_plays() == room; }));
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(0.65);
  RawClient &waiting = scene.viewer(); // in the listener's backlog
  std::string tag = scene.next_tag();
  waiting.send(PlatformScene::start(tag));
  CHECK(scene.until([&] { return PlatformScene::said(waiting, "FINISH", tag); }, 2));
  CHECK(scene.until([&] { return done; }, 2));
}

TEST_CASE("drain: a request in pieces across the last moment of taking is answered") {
  PlatformScene scene(1);
  RawClient &viewer = scene.viewer();
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(0.6);
  std::string tag = scene.next_tag(), line = PlatformScene::start(tag);
  viewer.send(line.substr(0, 40));
  scene.run(0.25); // nothing is taken as a play any more
  CHECK_FALSE(done);
  viewer.send(line.substr(40));
  CHECK(scene.until([&] { return PlatformScene::said(viewer, "FINISH", tag); }, 0.5));
  CHECK(scene.until([&] { return done; }, 0.5));
}

TEST_CASE("exit: bytes that cross it do not take the last answer with them") {
  PlatformScene scene(1);
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  bool done = false;
  scene.front->drain([&] { done = true; });
  peer.say(echo());
  REQUIRE(scene.until([&] { return scene.front->viewers().counters().tests == 1; }));
  // Its last answer lies unread at the viewer; the end of what is sent comes first, then what crosses it.
  asio::error_code failed;
  REQUIRE(scene.until([&] { return done || !scene.front->viewers().is_listening(); }, 2));
  scene.run(0.02);
  peer.say(echo());
  REQUIRE(scene.until([&] { return done; }, 1));
  scene.front.reset();
  peer.read();
  CHECK(peer.count("ECHOED") >= 1);
}

TEST_CASE("reload: what would leave parts on other terms is refused whole, the rest holds in every part") {
  PlatformScene scene(1);
  nlohmann::json two = scene.config;
  nlohmann::json second = two["settings"]["classes"][0];
  second["name"] = "talk", second["effect"] = "unsafe", second["deadline"] = 0.8;
  two["settings"]["classes"].push_back(second);
  for (const char *name : {"class_floor", "class_top", "class_seats", "rate_factor", "is_live"})
    two["settings"]["family_info"][name].push_back(two["settings"]["family_info"][name][0]);
  restart(scene, two);
  RawServer moved(scene.io);
  std::string elsewhere = "127.0.0.1:" + std::to_string(moved.acceptor.local_endpoint().port());
  auto refused = [&](const std::function<void(nlohmann::json &)> &change) {
    nlohmann::json next = two;
    next["channel"] = elsewhere;
    change(next);
    bool is = scene.front->reload(platform::parse_node_config(next.dump())).has_value();
    scene.run(0.1);
    return is && moved.connections.empty(); // nothing of it is in force
  };
  CHECK(
      refused([](auto &next) { std::swap(next["settings"]["classes"][0], next["settings"]["classes"][1]); }));
  CHECK(refused([](auto &next) { next["settings"]["classes"][1]["name"] = "speech"; }));
  CHECK(refused([](auto &next) { next["settings"]["family_info"]["groups"] = 2; }));
  CHECK(refused([](auto &next) { next["settings"]["report"]["names"] = {"cpu"}; }));
  nlohmann::json short_list = two;
  short_list["settings"]["family_info"]["rate_factor"] = {1.0};
  CHECK_THROWS_AS(platform::parse_node_config(short_list.dump()), platform::NodeConfigError);

  nlohmann::json next = two; // another time limit, advice and connect time: in the doors as in the module
  next["channel"] = elsewhere;
  next["settings"]["classes"][0]["deadline"] = 2.4;
  next["settings"]["limits"]["max_retry_after"] = 0.9;
  REQUIRE_FALSE(scene.front->reload(platform::parse_node_config(next.dump())).has_value());
  CHECK(scene.until([&] { return moved.connections.size() == 1; }, 1));
  RawClient &viewer = scene.viewer();
  std::string longer = scene.next_tag();
  viewer.send(PlatformScene::start(longer, "", "7f3a9c21e0b4d655", "2400"));
  CHECK(scene.until([&] { return PlatformScene::said(viewer, "STARTED", longer); }, 1));
  scene.front->viewers().stop_accepting();
  std::string tag = scene.next_tag();
  viewer.send(PlatformScene::start(tag));
  CHECK(scene.until([&] { return viewer.received.find("\"wait\":\"900\"},\"rc\":34") != std::string::npos; },
                    1));
}

TEST_CASE("a bad line on a good connection does not cost its plays their answers; the connection then goes") {
  PlatformScene scene(1);
  RawClient &viewer = scene.viewer();
  scene.standing(viewer); // a good connection
  scene.servers[0]->how = "silent";
  std::string tag = scene.next_tag(), after = scene.next_tag();
  viewer.send(PlatformScene::start(tag));
  REQUIRE(scene.until([&] { return scene.set_ups() == 2; }));
  viewer.send("no JSON\n" + PlatformScene::start(after));
  REQUIRE(
      scene.until([&] { return PlatformScene::said(viewer, "FINISH", after); }, 1)); // nothing new is taken
  StandIn::Asked asked = scene.servers[0]->asked.back();
  CHECK(scene.servers[0]->torn.empty());
  RawServer::send(*asked.link, StandIn::answer(tag, 200, "of " + tag));
  CHECK(scene.until([&] { return PlatformScene::said(viewer, "STARTED", tag); }, 1));
  CHECK(scene.until([&] { return viewer.closed; }, 1));
  RawClient &bad = scene.viewer(); // one that no play vouches for is cut, and what it asked for withdrawn
  bad.send(PlatformScene::start(scene.next_tag()) + "no JSON\n");
  CHECK(scene.until([&] { return bad.closed; }, 1));
  CHECK(bad.count("STARTED") == 0);
}

TEST_CASE("room: neither an unsent answer nor an unread request is closed to make it") {
  asio::io_context io;
  jsonlines::Limits limits;
  limits.connections = 2;
  limits.unsent_bytes = 64 * 1024 * 1024;
  std::vector<jsonlines::Server::ConnectionId> ids;
  std::vector<std::string> lines;
  jsonlines::Server::Events events;
  events.on_line = [&](jsonlines::Server::ConnectionId id, std::string_view line) {
    ids.push_back(id), lines.emplace_back(line);
  };
  events.on_closed = [](jsonlines::Server::ConnectionId, const char *) {};
  jsonlines::Server server(io, loopback(), limits, std::move(events));
  SlowPeer slow(io, server.local_endpoint()), quiet(io, server.local_endpoint());
  slow.say("a\n");
  REQUIRE(run_until(io, [&] { return ids.size() == 1; }));
  bool stuck = false; // unsent for good: the system's buffers grow for a moment
  for (int i = 0; i < 64 && !stuck; ++i) {
    server.send(ids[0], std::string(256 * 1024, 'x') + "\n");
    run_for(io, 0.002);
    if (server.unsent_bytes() == 0) continue;
    run_for(io, 0.05);
    stuck = server.unsent_bytes() > 0;
  }
  REQUIRE(stuck);
  quiet.say("b\n");
  REQUIRE(run_until(io, [&] { return ids.size() == 2; }));
  run_for(io, 0.1); // both settled
  RawClient third(io, server.local_endpoint());
  std::this_thread::sleep_for(std::chrono::milliseconds(1)); // it is in the backlog
  quiet.say("c\n"); // unread when room is wanted: the loop has not run since
  run_for(io, 0.04);
  CHECK(lines.back() == "c");
  CHECK(server.counters().room_cut == 0);
  CHECK(server.connections() == 2);
  CHECK(run_until(
      io, [&] { return server.counters().room_cut == 1; }, 1)); // the quiet one, settled again
  third.send("d\n");
  CHECK(run_until(
      io, [&] { return lines.back() == "d"; }, 1));
  CHECK(server.unsent_bytes() > 0); // the slow one is still there
}

TEST_CASE("a release heard before the play is handed over is told once it is") {
  for (int cause : {16, 41, 31}) {
    CAPTURE(cause);
    PlatformScene scene(1);
    RawClient &viewer = scene.viewer();
    scene.standing(viewer);
    std::string tag = scene.next_tag();
    RawServer::send(*scene.servers[0]->asked[0].link,
                    StandIn ::request(tag, "TEARDOWN", {{"Reason", "cause=" + std::to_string(cause)}}));
    REQUIRE(scene.until([&] { return scene.front->servers().counters().unknown_sessions == 1; }));
    viewer.send(PlatformScene ::start(tag, ";at:s-00000001", "7f3a9c21e0b4d655", "4294967"));
    REQUIRE(scene.until([&] { return scene.front->viewers().counters().handed_over == 1; }));
    CHECK(scene.until([&] { return scene.open() == 1; }, 1));
    scene.run(0.05);
    CHECK(PlatformScene::said(viewer, "FINISH", tag) == (cause != 31)); // ended by its viewer: owed nothing
  }
}

TEST_CASE("a play's end that its server may not have heard is said again on another connection") {
  PlatformScene scene(1);
  RawClient &viewer = scene.viewer();
  auto [server, tag] = scene.standing(viewer);
  StandIn &at = *server;
  at.how = "deaf"; // the connection is reset as the end comes, and the server has not heard it
  viewer.send(PlatformScene::finish(tag));
  REQUIRE(scene.until([&] { return scene.open() == 0 && at.how == "play"; }, 1));
  CHECK(at.torn.empty());
  CHECK(scene.until([&] { return at.torn == std::vector<std::string>{tag}; }, 3));
  scene.run(1.2);
  CHECK(at.torn.size() == 1); // once it was heard, not again
}

TEST_CASE("a set-up given up before its server reads is never sent, and never ran") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, loopback());
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  rtsp::Timeouts times;
  rtsp::Limits limits;
  limits.connections = 1, limits.unsent_bytes = 64 * 1024 * 1024, limits.set_ups_per_connection = 100000;
  rtsp::PeerCounters counters;
  rtsp::Peer::Events events;
  std::vector<std::pair<std::uint64_t, rtsp::EndReason>> ends;
  events.on_set_up_ended = [&](std::uint64_t session, rtsp::EndReason end, const rtsp::Message *, double) {
    ends.emplace_back(session, end);
  };
  events.on_request = [](std::uint64_t, const rtsp::Message &) {};
  events.on_probe_ended = [](rtsp::EndReason, const rtsp::Message *) {};
  events.on_data = events.on_connected = [] {};
  events.on_disconnected = [](rtsp::EndReason, bool) {};
  events.may_connect = [] { return true; };
  events.has_session = [](std::uint64_t) { return false; };
  rtsp::Peer peer(io, acceptor.local_endpoint(), times, limits, counters, 7, std::move(events));
  std::string description(15000, 'x');
  auto ask = [&](std::uint64_t session, double time_out) {
    peer.set_up({session, "7f3a9c21e0b4d655", "clip", description, 0, time_out});
  };
  std::uint64_t last = 0;
  asio::ip::tcp::socket server(io);
  ask(++last, 30);
  acceptor.accept(server);
  while (last < 1000) ask(++last, 30); // more than its buffers take, on the way all at once
  run_for(io, 0.1);
  REQUIRE(peer.unsent_bytes() == 0);
  ask(++last, 30);
  peer.cancel_set_up(last);
  ask(++last, 0.02); // its time runs out there
  REQUIRE(run_until(
      io, [&] { return !ends.empty(); }, 1));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].first == last);
  CHECK(rtsp::kEndReasonNames[static_cast<int>(ends[0].second)] == std::string("not_up"));
  CHECK(counters.recalled_unsent == 2);
  std::string all; // now the server reads
  server.non_blocking(true);
  run_until(
      io,
      [&] {
        char buffer[65536];
        asio::error_code error;
        while (std::size_t n = server.read_some(asio::buffer(buffer), error)) all.append(buffer, n);
        return peer.unsent_bytes() == 0;
      },
      2);
  run_for(io, 0.05);
  char buffer[65536];
  asio::error_code error;
  while (std::size_t n = server.read_some(asio::buffer(buffer), error)) all.append(buffer, n);
  CHECK(all.find("Session: " + given::format_hex16(1)) != std::string::npos);
  CHECK(all.find("Session: " + given::format_hex16(last)) == std::string::npos);
  CHECK(all.find("Session: " + given::format_hex16(last - 1)) == std::string::npos);
}

TEST_CASE("names of the settings go through unchanged, whatever they hold") {
  PlatformScene scene(2);
  nlohmann::json config = scene.config;
  config["settings"]["areas"] = {"north, high hall", "hall-a"};
  config["settings"]["skus"] = {"tall tower, old", "k"};
  config["settings"]["classes"][0]["name"] = "Foyer-Übersicht, large screen";
  config["settings"]["family_info"]["kind_slots"] = {40, 40};
  for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"])
    target["az"] = "north, high hall", target["model"] = "tall tower, old";
  restart(scene, config);
  REQUIRE(scene.until([&] { return !scene.channel.connections.empty(); }));
  RawServer::send(*scene.channel.connections.back(),
                  frame(2, 2, record(scene.written(1, *scene.servers[0], 0)))); // zone 0, kind 0, by place
  scene.run(0.05);
  RawClient &viewer = scene.viewer();
  std::string tag = scene.next_tag(), line = PlatformScene::start(tag);
  std::string own = "\"class\":\"clip\"", other = "\"class\":\"Foyer-Übersicht, large screen\"";
  line.replace(line.find(own), own.size(), other);
  viewer.send(line);
  REQUIRE(scene.until([&] { return PlatformScene::said(viewer, "STARTED", tag); }, 1));
  CHECK(scene.asked().tiers == std::vector<std::string>{"Foyer-Übersicht, large screen"});
  CHECK(scene.front->core().settings().halls[0] == "north, high hall");
  for (const auto &server : scene.front->core().server_list().servers) {
    CHECK(server.hall == "north, high hall");
    CHECK(server.kind == "tall tower, old");
  }
  config["settings"]["classes"][0]["name"] = "two\r\nlines";
  CHECK_THROWS_WITH(platform::parse_node_config(config.dump()),
                    Catch::Matchers::StartsWith("settings.classes[0].name"));
}

TEST_CASE("an answer goes out before anything is written of it: its server may end the play in that moment") {
  for (std::string how : {"plays", "declined", "failed"}) {
    CAPTURE(how);
    PlatformScene scene(1, how == "failed" ? "unsafe" : "safe");
    platform::NodeConfig boot = platform::parse_node_config(scene.config.dump());
    Folder folder;
    NotingDoors doors;
    doors.log_file = folder.name + "/log";
    telemetry::Log log(doors.log_file);
    edge::Core core(
        scene.io, boot.core, log,
        std::make_unique<feed::Client>(scene.io, boot.channel, boot.places, boot.initial_list, 1, log), doors,
        doors);
    core.start();
    REQUIRE(scene.until([&] { return core.has_list(); }));
    scene.run(0.25); // past the warm-up
    PlayRequest terms;
    terms.cell_count = 1, terms.max_rung = 3;
    edge::PlayRef ref = core.add_play(7, "7f3a9c21e0b4d655");
    core.submit_play(ref.index, terms);
    REQUIRE(doors.allocated == ref.index);
    edge::SetUpResult result;
    result.started = how == "plays";
    result.outcome = how == "plays" ? Outcome::done : how == "declined" ? Outcome::busy : Outcome::error;
    core.set_up_ended(ref, 0, result);
    REQUIRE(doors.logged.size() == 1);
    CHECK(doors.logged[0].find("\"event\":\"" + how + "\"") == std::string::npos);
    doors.note(); // it is written then
    CHECK(doors.logged[1].find("\"event\":\"" + how + "\"") != std::string::npos);
  }
}

TEST_CASE("drain: hung servers and deadlines over 3 s leave answers owed at the earliest kill", "[drain]") {
  constexpr double kEarliestKill = 3.7; // the longest deadline counts as 3 s where it is longer
  PlatformScene scene(2, GENERATE("safe", "unsafe"),
                      [](nlohmann::json &config) { config["settings"]["classes"][0]["deadline"] = 10; });
  for (auto &server : scene.servers) server->how = "hang";
  RawClient &peer = scene.viewer();
  std::vector<std::string> tags;
  auto ask = [&] {
    tags.push_back(scene.next_tag());
    peer.send(PlatformScene::start(tags.back(), "", "7f3a9c21e0b4d655", "10000"));
  };
  ask();
  REQUIRE(scene.until([&] { return scene.set_ups() > 0; }));
  bool gone = false;
  auto from = std::chrono::steady_clock::now();
  scene.front->drain([&] { gone = true; });
  scene.run(0.3);
  ask();
  REQUIRE(scene.until([&] { return gone; }, kEarliestKill));
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::duration<double>(kEarliestKill));
  for (const std::string &tag : tags) CHECK(PlatformScene::said(peer, "FINISH", tag));
  CHECK(peer.closed);
}

TEST_CASE("a server that restarts unseen by the list leaves its sessions unreleased", "[slow]") {
  bool restarted = GENERATE(true, false);
  PlatformScene scene(1); // a note comes each second
  RawClient &peer = scene.viewer();
  auto [server, tag] = scene.standing(peer);
  auto note = [&, server = server, tag = tag] {
    for (auto &link : server->server.connections) {
      if (link->closed) continue;
      RawServer::send(*link, StandIn::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
      return;
    }
  };
  note();
  scene.run(0.2);
  for (auto &link :
       server->server.connections) { // as its process ends; another answers at once at its address
    asio::error_code ignored;
    link->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    link->socket.close(ignored);
    link->closed = true;
  }
  if (restarted) {
    CHECK(scene.until([&, tag = tag] { return PlatformScene::said(peer, "FINISH", tag); }, 8));
    return;
  }
  for (int i = 0; i < 5; ++i) { // it was the connection alone
    scene.run(0.9);
    note();
  }
  CHECK_FALSE(PlatformScene::said(peer, "FINISH", tag));
}

TEST_CASE("drain: a connection opened only to listen takes a server's release into the exit") {
  PlatformScene scene(1);
  auto [server, tag] = scene.standing(scene.viewer());
  scene.front->drain([] {});
  for (auto &link : server->server.connections) link->socket.close();
  std::size_t before = server->server.connections.size();
  scene.run(0.6);
  CHECK(server->server.connections.size() == before);
}
