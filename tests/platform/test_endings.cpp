// Ends of processes, connections, plays and configurations at the moment in which a message is still to be
// sent or received. Each test forces the unfavourable order of events by steps that wait for one another;
// docs/endings.md lists the cases.
#include "platform/platform_fixture.h"
#include "temporary_folder.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// Gateways that record the contents of the log file at each answer.
struct LogRecordingGateways : edge::PlayerGateway, edge::ServerGateway {
  std::string log_file;
  edge::Core *core = nullptr;
  // The contents of the log file at each answer.
  std::vector<std::string> logs;
  int allocated = -1;
  void record_log() {
    std::ifstream in(log_file);
    logs.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  void send_set_up_result(int, const edge::SetUpResult &) override { record_log(); }
  void send_decline(int, double) override { record_log(); }
  void send_failure(int) override { record_log(); }
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

// A viewer's socket with a small buffer that is read only when the test says so.
struct SlowPeer {
  asio::ip::tcp::socket socket;
  std::string received;
  SlowPeer(asio::io_context &io, const asio::ip::tcp::endpoint &to) : socket(io) {
    socket.open(to.protocol());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(to);
    socket.non_blocking(true);
  }
  void send(const std::string &text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  // Reads what has arrived. Returns false once the other side has ended the connection.
  bool read() {
    char buffer[65536];
    asio::error_code error;
    while (std::size_t n = socket.read_some(asio::buffer(buffer), error)) received.append(buffer, n);
    return error == asio::error::would_block;
  }
  std::size_t count(const std::string &part) const {
    std::size_t n = 0;
    for (std::size_t at = received.find(part); at != std::string::npos; at = received.find(part, at + 1)) ++n;
    return n;
  }
};

std::string echo() {
  return R"({"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0})"
         "\n";
}

// Sends requests until the front end holds unsent answers because all buffers on the way are full. Returns
// the number of requests.
std::size_t fill_send_buffers(PlatformScene &scene, SlowPeer &peer) {
  std::size_t request_count = 0;
  while (scene.front->viewers().unsent_bytes() < 4096) {
    std::string requests;
    for (int i = 0; i < 16; ++i, ++request_count) requests += echo();
    peer.send(requests);
    if (!scene.until([&] { return scene.front->viewers().counters().tests == request_count; }))
      throw std::runtime_error("the front end did not receive a health check");
  }
  return request_count;
}

// With enough memory that a viewer that does not read is not disconnected.
nlohmann::json with_large_memory(nlohmann::json config) {
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

TEST_CASE("drain: the process waits for an unsent answer, which arrives whole") {
  PlatformScene scene(1);
  restart(scene, with_large_memory(scene.config));
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  std::size_t request_count = fill_send_buffers(scene, peer);
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(1.0);
  CHECK_FALSE(done);
  bool open = true;
  scene.until([&] { return !(open = peer.read()) || done; }, 2);
  CHECK(scene.until([&] { return done; }, 1));
  scene.front.reset();
  peer.read();
  CHECK(peer.count("ECHOED") == request_count);
  CHECK(peer.received.ends_with("}\n"));
}

TEST_CASE("drain: a viewer that never reads delays the exit, but not beyond the earliest kill") {
  PlatformScene scene(1);
  restart(scene, with_large_memory(scene.config));
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  fill_send_buffers(scene, peer);
  bool done = false;
  scene.front->drain([&] { done = true; });
  CHECK_FALSE(scene.until([&] { return done; }, 1.6));
  // The earliest kill is at 0.7 s plus the time limit of 1.2 s.
  CHECK(scene.until([&] { return done; }, 0.3));
}

TEST_CASE("drain: a request on a connection in the listener's backlog is answered") {
  // Set-ups are not repeated and wait for as long as the viewer does.
  PlatformScene scene(1, "unsafe");
  scene.servers[0]->behavior = "silent";
  nlohmann::json config = scene.config;
  config["limits"]["sockets"] = 32;
  config["settings"]["family_info"]["link_unit_kb"] = 400000;
  restart(scene, config);
  std::size_t max_connections = platform::compute_resource_limits(32, 48).viewer_descriptors;
  std::vector<RawClient *> viewers;
  // Pending requests use all connections that viewers may have.
  for (std::size_t i = 0; i < max_connections; ++i) {
    viewers.push_back(&scene.connect_viewer());
    viewers.back()->send(PlatformScene::start_line(scene.next_tag()));
  }
  REQUIRE(scene.until([&] { return scene.front->core().unanswered_plays() == max_connections; }));
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(0.65);
  RawClient &queued = scene.connect_viewer(); // in the listener's backlog
  std::string tag = scene.next_tag();
  queued.send(PlatformScene::start_line(tag));
  CHECK(scene.until([&] { return PlatformScene::has_received(queued, "FINISH", tag); }, 2));
  CHECK(scene.until([&] { return done; }, 2));
}

TEST_CASE("drain: a request that arrives in part before requests are declined is answered") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(0.6);
  std::string tag = scene.next_tag(), line = PlatformScene::start_line(tag);
  viewer.send(line.substr(0, 40));
  // From now on new requests are declined.
  scene.run(0.25);
  CHECK_FALSE(done);
  viewer.send(line.substr(40));
  CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "FINISH", tag); }, 0.5));
  CHECK(scene.until([&] { return done; }, 0.5));
}

// The server does not send a release again that was confirmed, so its viewer never hears of it.
TEST_CASE("exit: a server's release is confirmed when viewers can be told nothing any more") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  auto [server, early] = scene.start_play(viewer);
  std::string late = scene.start_play(viewer).second;
  auto release = [&, server = server](const std::string &tag) {
    RawServer::send(*server->set_ups.back().connection,
                    ScriptedServer::request(tag, "TEARDOWN", {{"Reason", "cause=16"}}));
  };
  bool done = false;
  scene.front->drain([&] { done = true; });
  scene.run(0.1);
  release(early);
  CHECK(scene.until([&, tag = early] { return PlatformScene::has_received(viewer, "FINISH", tag); }, 0.5));
  // The front end ends its sending direction towards viewers just before it exits.
  REQUIRE(scene.until([&] { return viewer.closed; }, 3));
  REQUIRE_FALSE(done);
  release(late);
  REQUIRE(scene.until([&] { return done; }, 1));
  scene.front.reset();
  scene.until([] { return false; }, 0);
  run_for(scene.io, 0.05);
  CHECK_FALSE(PlatformScene::has_received(viewer, "FINISH", late));
  CHECK(server->confirmed == std::vector<std::string>{early});
}

TEST_CASE("exit: bytes that arrive during the exit do not destroy the last answer by a reset") {
  PlatformScene scene(1);
  SlowPeer peer(scene.io, scene.front->viewers().local_endpoint());
  bool done = false;
  scene.front->drain([&] { done = true; });
  peer.send(echo());
  REQUIRE(scene.until([&] { return scene.front->viewers().counters().tests == 1; }));
  // The viewer has not read its last answer when the front end ends its sending direction; more bytes from
  // the viewer arrive after that.
  asio::error_code failed;
  REQUIRE(scene.until([&] { return done || !scene.front->viewers().is_listening(); }, 2));
  scene.run(0.02);
  peer.send(echo());
  REQUIRE(scene.until([&] { return done; }, 1));
  scene.front.reset();
  peer.read();
  CHECK(peer.count("ECHOED") >= 1);
}

// Guards against a reload that only some parts of the front end apply.
TEST_CASE("reload: a change that a running part cannot apply is refused, any other is applied everywhere") {
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
    bool is_refused = scene.front->reload(platform::parse_node_config(next.dump())).has_value();
    scene.run(0.1);
    // No part of the refused configuration is applied.
    return is_refused && moved.connections.empty();
  };
  CHECK(
      refused([](auto &next) { std::swap(next["settings"]["classes"][0], next["settings"]["classes"][1]); }));
  CHECK(refused([](auto &next) { next["settings"]["classes"][1]["name"] = "speech"; }));
  CHECK(refused([](auto &next) { next["settings"]["family_info"]["groups"] = 2; }));
  CHECK(refused([](auto &next) { next["settings"]["report"]["names"] = {"cpu"}; }));
  nlohmann::json short_list = two;
  short_list["settings"]["family_info"]["rate_factor"] = {1.0};
  CHECK_THROWS_AS(platform::parse_node_config(short_list.dump()), platform::NodeConfigError);

  // A new time limit and retry time apply in the gateways and in the decision engine.
  nlohmann::json next = two;
  next["channel"] = elsewhere;
  next["settings"]["classes"][0]["deadline"] = 2.4;
  next["settings"]["limits"]["max_retry_after"] = 0.9;
  REQUIRE_FALSE(scene.front->reload(platform::parse_node_config(next.dump())).has_value());
  CHECK(scene.until([&] { return moved.connections.size() == 1; }, 1));
  RawClient &viewer = scene.connect_viewer();
  std::string longer = scene.next_tag();
  viewer.send(PlatformScene::start_line(longer, "", "7f3a9c21e0b4d655", "2400"));
  CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", longer); }, 1));
  scene.front->viewers().stop_accepting();
  std::string tag = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag));
  CHECK(scene.until([&] { return viewer.received.find("\"wait\":\"900\"},\"rc\":34") != std::string::npos; },
                    1));
}

TEST_CASE("viewers: a trusted connection with an invalid line is closed only after its plays are answered") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  // A started play makes the connection trusted.
  scene.start_play(viewer);
  scene.servers[0]->behavior = "silent";
  std::string tag = scene.next_tag(), after = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag));
  REQUIRE(scene.until([&] { return scene.set_up_count() == 2; }));
  viewer.send("no JSON\n" + PlatformScene::start_line(after));
  REQUIRE(scene.until([&] { return PlatformScene::has_received(viewer, "FINISH", after); },
                      1)); // new requests are declined
  ScriptedServer::SetUp set_up = scene.servers[0]->set_ups.back();
  CHECK(scene.servers[0]->released.empty());
  RawServer::send(*set_up.connection, ScriptedServer::answer(tag, 200, "of " + tag));
  CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", tag); }, 1));
  CHECK(scene.until([&] { return viewer.closed; }, 1));
  RawClient &bad = scene.connect_viewer(); // not trusted, so it is closed at once and its set-up is cancelled
  bad.send(PlatformScene::start_line(scene.next_tag()) + "no JSON\n");
  CHECK(scene.until([&] { return bad.closed; }, 1));
  CHECK(bad.count("STARTED") == 0);
}

TEST_CASE(
    "viewers: no connection with an unsent answer or an unread request is closed for a new connection") {
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
  slow.send("a\n");
  REQUIRE(run_until(io, [&] { return ids.size() == 1; }));
  // The system's buffers grow for a moment, so an answer counts as unsent only after a wait.
  bool has_unsent = false;
  for (int i = 0; i < 64 && !has_unsent; ++i) {
    server.send(ids[0], std::string(256 * 1024, 'x') + "\n");
    run_for(io, 0.002);
    if (server.unsent_bytes() == 0) continue;
    run_for(io, 0.05);
    has_unsent = server.unsent_bytes() > 0;
  }
  REQUIRE(has_unsent);
  quiet.send("b\n");
  REQUIRE(run_until(io, [&] { return ids.size() == 2; }));
  // Until both connections are idle.
  run_for(io, 0.1);
  RawClient third(io, server.local_endpoint());
  std::this_thread::sleep_for(std::chrono::milliseconds(1)); // until the connection is in the backlog
  // The event loop has not run, so this request is unread when the new connection needs a place.
  quiet.send("c\n");
  run_for(io, 0.04);
  CHECK(lines.back() == "c");
  CHECK(server.counters().room_cut == 0);
  CHECK(server.connections() == 2);
  CHECK(run_until(
      io, [&] { return server.counters().room_cut == 1; }, 1)); // the quiet one, which is idle again
  third.send("d\n");
  CHECK(run_until(
      io, [&] { return lines.back() == "d"; }, 1));
  // The slow viewer is still connected.
  CHECK(server.unsent_bytes() > 0);
}

TEST_CASE("handover: a release that arrives before the handover of its play is reported after it") {
  for (int cause : {16, 41, 31}) {
    CAPTURE(cause);
    PlatformScene scene(1);
    RawClient &viewer = scene.connect_viewer();
    scene.start_play(viewer);
    std::string tag = scene.next_tag();
    RawServer::send(*scene.servers[0]->set_ups[0].connection,
                    ScriptedServer::request(tag, "TEARDOWN", {{"Reason", "cause=" + std::to_string(cause)}}));
    REQUIRE(scene.until([&] { return scene.front->servers().counters().unknown_sessions == 1; }));
    viewer.send(PlatformScene::start_line(tag, ";at:s-00000001", "7f3a9c21e0b4d655", "4294967"));
    REQUIRE(scene.until([&] { return scene.front->viewers().counters().handed_over == 1; }));
    CHECK(scene.until([&] { return scene.open_plays() == 1; }, 1));
    scene.run(0.05);
    CHECK(PlatformScene::has_received(viewer, "FINISH", tag) ==
          (cause != 31)); // 31: moved or ended by its viewer, who needs no message
  }
}

TEST_CASE(
    "handover: a viewer's release that arrives before the handover of its play is confirmed without effect") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer(), &releasing = scene.connect_viewer();
  std::string tag = scene.next_tag();
  releasing.send(PlatformScene::finish_line(tag));
  REQUIRE(scene.until([&] { return PlatformScene::has_received(releasing, "FINISHED", tag); }, 1));
  viewer.send(PlatformScene::start_line(tag, ";at:s-00000001", "7f3a9c21e0b4d655", "4294967"));
  auto released = [&] { return std::ranges::count(scene.servers[0]->released, tag) == 1; };
  CHECK(scene.until(released, 1));
  CHECK(scene.open_plays() == 0);
}

TEST_CASE("servers: a release that its server may not have received is sent again on another connection") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  auto [server, tag] = scene.start_play(viewer);
  ScriptedServer &scripted = *server;
  // The server resets the connection when the release arrives.
  scripted.behavior = "deaf";
  viewer.send(PlatformScene::finish_line(tag));
  REQUIRE(scene.until([&] { return scene.open_plays() == 0 && scripted.behavior == "play"; }, 1));
  CHECK(scripted.released.empty());
  CHECK(scene.until([&] { return scripted.released == std::vector<std::string>{tag}; }, 3));
  scene.run(1.2);
  CHECK(scripted.released.size() == 1); // a received release is not repeated
}

TEST_CASE("servers: a set-up that is cancelled or times out before it is written is never sent") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, loopback());
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  rtsp::Timeouts timeouts;
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
  events.on_data = [](double) {};
  events.on_connected = [] {};
  events.on_disconnected = [](rtsp::EndReason, bool) {};
  events.may_connect = [] { return true; };
  events.has_session = [](std::uint64_t) { return false; };
  rtsp::Peer peer(io, acceptor.local_endpoint(), timeouts, limits, counters, 7, std::move(events));
  std::string description(15000, 'x');
  auto set_up = [&](std::uint64_t session, double time_out) {
    peer.set_up({session, "7f3a9c21e0b4d655", "clip", description, 0, time_out});
  };
  std::uint64_t last = 0;
  asio::ip::tcp::socket server(io);
  set_up(++last, 30);
  acceptor.accept(server);
  while (last < 1000) set_up(++last, 30); // more than the buffers of the connection hold
  run_for(io, 0.1);
  REQUIRE(peer.unsent_bytes() == 0);
  set_up(++last, 30);
  peer.cancel_set_up(last);
  set_up(++last, 0.02); // it times out before it is written
  REQUIRE(run_until(
      io, [&] { return !ends.empty(); }, 1));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].first == last);
  CHECK(rtsp::kEndReasonNames[static_cast<int>(ends[0].second)] == std::string("not_up"));
  CHECK(counters.recalled_unsent == 2);
  std::string received; // from now on the server reads
  server.non_blocking(true);
  run_until(
      io,
      [&] {
        char buffer[65536];
        asio::error_code error;
        while (std::size_t n = server.read_some(asio::buffer(buffer), error)) received.append(buffer, n);
        return peer.unsent_bytes() == 0;
      },
      2);
  run_for(io, 0.05);
  char buffer[65536];
  asio::error_code error;
  while (std::size_t n = server.read_some(asio::buffer(buffer), error)) received.append(buffer, n);
  CHECK(received.find("Session: " + settings::format_hex16(1)) != std::string::npos);
  CHECK(received.find("Session: " + settings::format_hex16(last)) == std::string::npos);
  CHECK(received.find("Session: " + settings::format_hex16(last - 1)) == std::string::npos);
}

TEST_CASE("configuration: names with spaces, commas and non-ASCII characters are passed on unchanged") {
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
  RawServer::send(
      *scene.channel.connections.back(),
      frame(2, 2, record(scene.record_of(1, *scene.servers[0], 0)))); // hall 0 and kind 0 by index
  scene.run(0.05);
  RawClient &viewer = scene.connect_viewer();
  std::string tag = scene.next_tag(), line = PlatformScene::start_line(tag);
  std::string own = "\"class\":\"clip\"", other = "\"class\":\"Foyer-Übersicht, large screen\"";
  line.replace(line.find(own), own.size(), other);
  viewer.send(line);
  REQUIRE(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", tag); }, 1));
  CHECK(scene.server_with_set_up().tiers == std::vector<std::string>{"Foyer-Übersicht, large screen"});
  CHECK(scene.front->core().settings().halls[0] == "north, high hall");
  for (const auto &server : scene.front->core().server_list().servers) {
    CHECK(server.hall == "north, high hall");
    CHECK(server.kind == "tall tower, old");
  }
  config["settings"]["classes"][0]["name"] = "two\r\nlines";
  CHECK_THROWS_WITH(platform::parse_node_config(config.dump()),
                    Catch::Matchers::StartsWith("settings.classes[0].name"));
}

// Guards against an answer that waits for a write to the log, while the play's server may already end the
// play.
TEST_CASE("an answer is sent before it is logged") {
  for (std::string result_name : {"plays", "declined", "failed"}) {
    CAPTURE(result_name);
    PlatformScene scene(1, result_name == "failed" ? "unsafe" : "safe");
    platform::NodeConfig config = platform::parse_node_config(scene.config.dump());
    Folder folder;
    LogRecordingGateways gateways;
    gateways.log_file = folder.name + "/log";
    telemetry::Log log(gateways.log_file);
    edge::Core core(scene.io, config.core, log,
                    std::make_unique<discovery::Client>(scene.io, config.channel, config.places,
                                                        config.initial_list, 1, log),
                    gateways, gateways);
    core.start();
    REQUIRE(scene.until([&] { return core.has_list(); }));
    // Until the warm-up is over.
    scene.run(0.25);
    PlayRequest request;
    request.cell_count = 1, request.max_rung = 3;
    edge::PlayRef ref = core.add_play(7, "7f3a9c21e0b4d655");
    core.submit_play(ref.index, request);
    REQUIRE(gateways.allocated == ref.index);
    edge::SetUpResult result;
    result.started = result_name == "plays";
    result.outcome = result_name == "plays"      ? Outcome::done
                     : result_name == "declined" ? Outcome::busy
                                                 : Outcome::error;
    core.set_up_ended(ref, 0, result);
    REQUIRE(gateways.logs.size() == 1);
    CHECK(gateways.logs[0].find("\"event\":\"" + result_name + "\"") == std::string::npos);
    // After the answer the log has the entry.
    gateways.record_log();
    CHECK(gateways.logs[1].find("\"event\":\"" + result_name + "\"") != std::string::npos);
  }
}

TEST_CASE("drain: hung servers and deadlines over 3 s leave requests unanswered at the earliest kill",
          "[drain]") {
  // 0.7 s and the longest deadline, which counts as 3 s at most.
  constexpr double kEarliestKill = 3.7;
  PlatformScene scene(2, GENERATE("safe", "unsafe"),
                      [](nlohmann::json &config) { config["settings"]["classes"][0]["deadline"] = 10; });
  for (auto &server : scene.servers) server->behavior = "hang";
  RawClient &peer = scene.connect_viewer();
  std::vector<std::string> tags;
  auto send_set_up = [&] {
    tags.push_back(scene.next_tag());
    peer.send(PlatformScene::start_line(tags.back(), "", "7f3a9c21e0b4d655", "10000"));
  };
  send_set_up();
  REQUIRE(scene.until([&] { return scene.set_up_count() > 0; }));
  bool exited = false;
  auto started = std::chrono::steady_clock::now();
  scene.front->drain([&] { exited = true; });
  scene.run(0.3);
  send_set_up();
  REQUIRE(scene.until([&] { return exited; }, kEarliestKill));
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::duration<double>(kEarliestKill));
  for (const std::string &tag : tags) CHECK(PlatformScene::has_received(peer, "FINISH", tag));
  CHECK(peer.closed);
}

TEST_CASE("servers: sessions of a server that restarts without a change of the list are never ended",
          "[slow]") {
  bool restarted = GENERATE(true, false);
  // Servers send a note each second.
  PlatformScene scene(1);
  RawClient &peer = scene.connect_viewer();
  auto [server, tag] = scene.start_play(peer);
  auto send_note = [&, server = server, tag = tag] {
    for (auto &connection : server->server.connections) {
      if (connection->closed) continue;
      RawServer::send(*connection,
                      ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
      return;
    }
  };
  send_note();
  scene.run(0.2);
  for (auto &connection :
       server->server.connections) { // as at the end of its process; a new one accepts connections at once
    asio::error_code ignored;
    connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
    connection->closed = true;
  }
  if (restarted) {
    CHECK(scene.until([&, tag = tag] { return PlatformScene::has_received(peer, "FINISH", tag); }, 8));
    return;
  }
  for (int i = 0; i < 5; ++i) { // only the connections were lost, the server continues
    scene.run(0.9);
    send_note();
  }
  CHECK_FALSE(PlatformScene::has_received(peer, "FINISH", tag));
}

TEST_CASE(
    "servers: sessions of a server that restarts unseen by the list are held while newer ones stand there",
    "[slow]") {
  bool restarted = GENERATE(true, false);
  // Servers send a note each second.
  PlatformScene scene(1);
  RawClient &peer = scene.connect_viewer();
  auto [server, older] = scene.start_play(peer);
  auto send_note = [&, server = server](const std::string &tag) {
    RawServer::send(*server->server.connections.back(),
                    ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
  };
  send_note(older);
  scene.run(0.2);
  std::size_t connections = server->server.connections.size();
  for (auto &connection : server->server.connections) {
    connection->socket.set_option(asio::socket_base::linger(true, 0));
    connection->socket.close();
  }
  REQUIRE(scene.until([&, server = server] { return server->server.connections.size() > connections; }, 1));
  std::string newer = scene.start_play(peer).second;
  // Each note names one of the sessions that the server holds.
  for (int i = 0; i < 14; ++i) {
    send_note(restarted || i % 2 == 0 ? newer : older);
    scene.run(0.5);
  }
  CHECK(PlatformScene::has_received(peer, "FINISH", older) == restarted);
  CHECK_FALSE(PlatformScene::has_received(peer, "FINISH", newer));
}

TEST_CASE("handover: a session older than its server's start is held where the front end started later still",
          "[slow]") {
  bool is_held = GENERATE(true, false);
  auto started_ms = static_cast<std::uint64_t>(
      (std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() - 5) *
      1000);
  // Servers send a note each second.
  PlatformScene scene(1, "safe", [&](nlohmann::json &config) {
    config["known"]["cmds"][0]["nodes"]["targets"][0]["boot_ms"] = started_ms;
  });
  RawClient &viewer = scene.connect_viewer();
  std::string tag = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag, ";at:s-00000001", "7f3a9c21e0b4d655", "4294967"));
  REQUIRE(scene.until([&] { return !scene.servers[0]->server.connections.empty(); }, 2));
  for (int i = 0; i < 8; ++i) {
    if (is_held)
      RawServer::send(*scene.servers[0]->server.connections.back(),
                      ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
    scene.run(1);
  }
  CHECK(PlatformScene::has_received(viewer, "FINISH", tag) != is_held);
}

TEST_CASE("drain: a connection opened only to receive takes a server's release that is lost at the exit") {
  PlatformScene scene(1);
  auto [server, tag] = scene.start_play(scene.connect_viewer());
  scene.front->drain([] {});
  for (auto &connection : server->server.connections) connection->socket.close();
  std::size_t before = server->server.connections.size();
  scene.run(0.6);
  CHECK(server->server.connections.size() == before);
}
