// The front end over HTTP against scripted servers: set-ups, failures, limits, drains, list files and
// configuration changes.
#include "edge/edge_fixture.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace snowshore;
using namespace snowshore::testing;

TEST_CASE("a play is set up once, its player is redirected, and its end leaves nothing in the table") {
  EdgeScene scene;
  RawClient &player = scene.request_play("/play/a?CMCD=sid%3D%22x%22%2Ctb%3D3300%2C%3D%3D%2Cnew%3D1");
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) == 307; }));
  FakeServer &server = scene.server_with_set_ups();
  CHECK(scene.set_up_count() == 1);
  CHECK(server.set_up_calls[0].set_up.rung == 2); // tb allows 3200 kbit/s
  CHECK(server.set_up_calls[0].set_up.expires_in > 0.1);
  std::string play = server.set_up_calls[0].set_up.play;
  CHECK(player.received.find("/media/" + play + "?title=a&rung=2") != std::string::npos);
  CHECK(player.received.find("Snowshore-Play: " + play) != std::string::npos);
  CHECK(scene.metric("snowshore_hints_malformed_total") == 1);
  CHECK(scene.metric("snowshore_hints_unknown_total") == 1);
  REQUIRE(scene.run_until_met([&] { return !server.report_streams.empty(); }));
  CHECK(scene.open_plays() == 1);
  server.send_end(play, "done");
  CHECK(scene.run_until_met([&] { return scene.open_plays() == 0; }));
  CHECK(scene.metric("snowshore_plays_total") == 1);
}

TEST_CASE(
    "a set-up answered after its time-out: the second allocation plays, the first is ended, one answer") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &player = scene.request_play();
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 2; }));
  auto &first = scene.servers[0]->set_up_calls.empty() || scene.servers[0]->set_up_calls[0].set_up.allocation
                    ? *scene.servers[1]
                    : *scene.servers[0];
  auto &second = &first == scene.servers[0].get() ? *scene.servers[1] : *scene.servers[0];
  first.set_up_calls[0].exchange->respond(FakeServer::make_response(201)); // while the second is pending
  scene.run_for(0.05);
  CHECK(EdgeScene::status(player) == 0);
  second.set_up_calls[0].exchange->respond(FakeServer::make_response(201));
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) == 307; }));
  CHECK(player.received.find(std::to_string(second.endpoint.port())) != std::string::npos);
  // Once at the time-out, and once when the late answer shows that the play started.
  CHECK(scene.run_until_met([&] { return first.ended_plays.size() >= 2; }));
  CHECK(second.ended_plays.empty());
  CHECK(player.count("HTTP/1.1 ") == 1);
  CHECK(scene.metric("snowshore_late_answers_total") == 1);
}

TEST_CASE("a set-up that may have run is repeated only for products where that is safe; one answer each") {
  struct Row {
    const char *product;
    const char *failure;
    int status;
    std::size_t set_up_count;
  };
  for (Row row : {Row{"clip", "reset", 307, 2}, Row{"paid", "reset", 502, 1}, Row{"clip", "nonsense", 307, 2},
                  Row{"paid", "nonsense", 502, 1}, Row{"clip", "busy", 307, 2}, Row{"paid", "busy", 307, 2},
                  Row{"paid", "silent", 504, 1}}) {
    CAPTURE(row.product, row.failure);
    EdgeScene scene;
    for (auto &server : scene.servers) server->answers_set_ups = false;
    RawClient &player = scene.request_play(std::string("/play/a?product=") + row.product);
    REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
    FakeServer &server = scene.server_with_set_ups();
    std::string failure = row.failure;
    for (auto &other : scene.servers) other->answers_set_ups = true;
    if (failure == "reset") server.set_up_calls[0].exchange->reset_connection();
    if (failure == "busy") server.set_up_calls[0].exchange->respond(FakeServer::make_response(503));
    if (failure == "nonsense") {
      http::Response nonsense;
      nonsense.headers.add("CMSD-Dynamic", "\"x\";com.snowshore-link=full;;");
      nonsense.body = "<html>";
      server.set_up_calls[0].exchange->respond(nonsense);
    }
    REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) != 0; }));
    CHECK(EdgeScene::status(player) == row.status);
    scene.run_for(0.1);
    CHECK(scene.set_up_count() == row.set_up_count);
    CHECK(player.count("HTTP/1.1 ") == 1);
    // The server is told to end a play that may run there.
    CHECK((failure == "busy" || server.ended_plays.size() >= 1));
    CHECK(scene.open_plays() == (row.status == 307 ? 1 : 0));
  }
}

TEST_CASE("a player that leaves while its set-up is pending: the set-up is cancelled, and nothing is kept") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &player = scene.request_play();
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
  player.socket.close();
  FakeServer &server = scene.server_with_set_ups();
  CHECK(scene.run_until_met([&] { return server.ended_plays.size() == 1; }));
  CHECK(scene.open_plays() == 0);
  server.set_up_calls[0].exchange->respond(FakeServer::make_response(201)); // nobody waits for it any more
  scene.run_for(0.05);
  CHECK(scene.open_plays() == 0);
  CHECK(scene.set_up_count() == 1);
}

TEST_CASE(
    "a server that starts to leave while a set-up is pending: the play runs, and no new one goes there") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &player = scene.request_play();
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
  FakeServer &server = scene.server_with_set_ups();
  bool is_first = &server == scene.servers[0].get();
  scene.publish_list(is_first ? std::vector{ServerStatus::leaving, ServerStatus::active}
                              : std::vector{ServerStatus::active, ServerStatus::leaving});
  server.set_up_calls[0].exchange->respond(FakeServer::make_response(201));
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) == 307; }));
  for (auto &other : scene.servers) other->answers_set_ups = true;
  for (int i = 0; i < 6; ++i) scene.request_play(i % 2 ? "/play/a" : "/play/b");
  scene.run_until_met([&] { return scene.set_up_count() == 7; }, 1);
  CHECK(server.set_up_calls.size() == 1);
}

TEST_CASE("whole lists in a burst, an older list and an unreadable one: each play gets exactly one answer") {
  EdgeScene scene(4);
  std::vector<RawClient *> players;
  for (int i = 0; i < 40; ++i) {
    players.push_back(&scene.request_play(i % 2 ? "/play/a" : "/play/b"));
    if (i % 8 == 3) scene.publish_list();
    if (i % 8 == 5) scene.publish_list({ServerStatus::active, ServerStatus::left});
    if (i == 20) scene.list->events.unavailable("gone");
    if (i == 30) {
      scene.version = 0;
      scene.publish_list();
    }
  }
  CHECK(scene.run_until_met(
      [&] { return std::ranges::all_of(players, [](auto *p) { return EdgeScene::status(*p) != 0; }); }));
  for (RawClient *player : players) CHECK(player->count("HTTP/1.1 ") == 1);
  CHECK(scene.run_until_met([&] { return scene.list->list_requests > 0; })); // the engine requests the list
}

TEST_CASE("a reopened report stream shows missed ends, a restarted server and plays of an earlier run") {
  struct Row {
    bool restarted, held;
    double open_plays;
  };
  for (Row row : {Row{false, true, 1}, Row{false, false, 0}, Row{true, false, 0}}) {
    CAPTURE(row.restarted, row.held);
    EdgeScene scene;
    RawClient &player = scene.request_play();
    REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) == 307; }));
    FakeServer &server = scene.server_with_set_ups();
    REQUIRE(scene.run_until_met([&] { return !server.report_streams.empty(); }));
    std::string play = server.set_up_calls[0].set_up.play;
    scene.run_for(0.05);
    if (row.restarted) server.started_at += 50;
    server.held_plays.clear();
    if (row.held) server.held_plays.push_back(play);
    server.held_plays.push_back("f0-earlier-1");
    server.report_streams.back()->reset_connection();
    REQUIRE(scene.run_until_met([&] { return server.report_streams.size() == 2; }));
    CHECK(scene.run_until_met([&] { return std::ranges::count(server.ended_plays, "f0-earlier-1") == 1; }));
    CHECK(scene.open_plays() == row.open_plays);
  }
}

TEST_CASE("plays on a server that falls silent, or whose process has ended, are ended in time") {
  for (bool refused : {false, true}) {
    CAPTURE(refused);
    EdgeScene scene;
    RawClient &player = scene.request_play();
    REQUIRE(scene.run_until_met([&] { return EdgeScene::status(player) == 307; }));
    FakeServer &server = scene.server_with_set_ups();
    REQUIRE(scene.run_until_met([&] { return !server.report_streams.empty(); }));
    if (refused) server.server->stop(true);
    server.is_silent = true;
    auto start = std::chrono::steady_clock::now();
    CHECK(scene.run_until_met([&] { return scene.open_plays() == 0; }, 5));
    double duration = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    CHECK(duration < (refused ? 1.0 : 4.0));
    CHECK(scene.metric("snowshore_lost_servers_total") >= 1);
  }
}

TEST_CASE("a front that was suspended reads pending answers before its timers expire, and loses no plays") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &playing = scene.request_play();
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
  FakeServer &server = scene.server_with_set_ups();
  server.held_plays.push_back(server.set_up_calls[0].set_up.play);
  // The answer is written, then the whole process is suspended past the allocation's time-out and lost_after.
  server.set_up_calls[0].exchange->respond(FakeServer::make_response(201));
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(playing) != 0; }));
  CHECK(EdgeScene::status(playing) == 307);
  CHECK(playing.count("HTTP/1.1 ") == 1);
  scene.run_until_met([&] { return !server.report_streams.empty(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  scene.run_for(0.2);
  CHECK(scene.open_plays() == 1);
  CHECK(scene.metric("snowshore_lost_servers_total") == 0);
  // A play whose time limit passes during a suspension gets its one answer at once.
  for (auto &other : scene.servers) other->answers_set_ups = false;
  RawClient &late = scene.request_play();
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 2; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1700));
  CHECK(scene.run_until_met([&] { return EdgeScene::status(late) != 0; }, 0.3));
  CHECK(late.count("HTTP/1.1 ") == 1);
}

TEST_CASE("requests that are not valid play requests get their status and are not added as plays") {
  struct Row {
    const char *target, *extra;
    int status;
  };
  EdgeScene scene;
  for (Row row : {Row{"/", "", 404}, Row{"/play/", "", 404}, Row{"/play/none", "", 404},
                  Row{"/play/a?product=x", "", 400}, Row{"/play/a?time_left=soon", "", 400},
                  Row{"/play/a?length=-1", "", 400}, Row{"/play/a", "Content-Length: 2\r\n\r\nhi", 400},
                  Row{"/play/%zz", "", 400}}) {
    CAPTURE(row.target);
    RawClient &peer = scene.request_play(row.target, row.extra);
    CHECK(scene.run_until_met([&] { return EdgeScene::status(peer) == row.status; }));
  }
  CHECK(scene.set_up_count() == 0);
  CHECK(scene.metric("snowshore_plays_taken_total") == 0);
  // A title with CR LF plays, and adds no header to the answer.
  RawClient &peer = scene.request_play("/play/a%0d%0aSet-Cookie:%20x=1");
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(peer) == 307; }));
  CHECK(peer.received.find("\r\nSet-Cookie") == std::string::npos);
  CHECK(scene.server_with_set_ups().set_up_calls[0].set_up.title == "a\r\nSet-Cookie: x=1");
}

TEST_CASE("limits of open plays, seats and time_left: declines come at once with a Retry-After") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  scene.request_play("/play/a?product=live");
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
  RawClient &second = scene.request_play("/play/a?product=live");
  REQUIRE(scene.run_until_met([&] { return EdgeScene::status(second) == 503; }, 0.2));
  CHECK(second.received.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(second.received.find("Snowshore-Play: ") != std::string::npos);
  RawClient &short_limit = scene.request_play("/play/b?time_left=0.25");
  CHECK(scene.run_until_met([&] { return EdgeScene::status(short_limit) != 0; }, 0.45));
  EdgeScene full(2, "limits: open_plays: 1");
  for (auto &server : full.servers) server->answers_set_ups = false;
  full.request_play();
  REQUIRE(full.run_until_met([&] { return full.set_up_count() == 1; }));
  RawClient &over = full.request_play("/play/b");
  REQUIRE(full.run_until_met([&] { return EdgeScene::status(over) == 503; }));
  CHECK(over.received.find("Snowshore-Play") == std::string::npos);
}

TEST_CASE("a drain rejects new plays, answers the accepted ones, and is then done") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &player = scene.request_play(), &idle = scene.request_play("/play/none");
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1 && EdgeScene::status(idle) == 404; }));
  bool drained = false;
  scene.edge->drain([&] { drained = true; });
  idle.send("GET /play/a HTTP/1.1\r\nHost: f\r\n\r\n");
  CHECK(scene.run_until_met([&] { return idle.count("503 Service") == 1; }));
  CHECK(!drained);
  scene.server_with_set_ups().set_up_calls[0].exchange->respond(FakeServer::make_response(201));
  CHECK(scene.run_until_met([&] { return drained; }));
  CHECK(EdgeScene::status(player) == 307);
}

TEST_CASE("a reload changes limits and log level and names what needs a restart") {
  EdgeScene scene;
  auto read = [](const std::string &extra) {
    records::Source files[] = {{"front.cue", kConfig}, {"more.cue", extra}};
    return config::parse_front_config(files);
  };
  CHECK(scene.edge->reload(read("limits: idle_time: \"9s\", log: level: \"debug\"")).empty());
  auto rest = scene.edge->reload(read("fronts: 3"));
  REQUIRE(rest.size() == 1);
  CHECK(rest[0] == "fronts");
  struct Row {
    const char *extra, *expected;
  };
  for (Row row :
       {Row{"index: 1", "index: expected an index below the number of fronts"},
        Row{"products: [{floor: 9}, ...]", "products[0].floor"}, Row{"fleet: racks: 5", "fleet.racks"},
        Row{"rules: fall_span: \"0s\"", "rules.fall_span"}, Row{"rules: fall_spam: \"1s\"", "fall_spam"},
        Row{"limits: lost_after: \"100ms\"", "limits.lost_after"},
        Row{"products: [{first_frame_target: \"2s\"}, ...]", "products[0].first_frame_target"}}) {
    CAPTURE(row.extra);
    std::string message;
    try {
      read(row.extra);
    } catch (const records::RecordError &error) {
      message = error.what();
    }
    CAPTURE(message);
    CHECK(message.find(row.expected) != std::string::npos);
  }
}

TEST_CASE("list files: read when replaced by a rename, rejected as a whole with the location of each error") {
  auto folder = std::filesystem::temp_directory_path() / ("snowshore-list-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  auto put = [&](const char *name, const std::string &text) {
    std::ofstream(folder / "new") << text;
    std::filesystem::rename(folder / "new", folder / name);
  };
  for (bool polled : {false, true}) {
    CAPTURE(polled);
    std::string valid_list = "version: 1, servers: [{id: \"s0\", address: \"127.0.0.1:9\", cell: 0}]";
    put("list.cue", valid_list);
    put("cat.cue", "version: 1, titles: {a: {cell: 0, cells: 1}}");
    asio::io_context io;
    auto open_source = polled ? edge::poll_files : edge::watch_files;
    auto source = open_source(io, (folder / "list.cue").string(), (folder / "cat.cue").string());
    CHECK(source->is_polling() == polled);
    std::vector<std::string> events_seen;
    edge::ListSource::Events events;
    events.list = [&](edge::ServerList list) {
      events_seen.push_back("list " + std::to_string(list.servers.size()));
    };
    events.catalogue = [&](edge::Catalogue catalogue) {
      events_seen.push_back("titles " + std::to_string(catalogue.size()));
    };
    events.unavailable = [&](const std::string &reason) { events_seen.push_back(reason); };
    source->start(std::move(events));
    auto next = [&] {
      run_until(io, [&] { return !events_seen.empty(); });
      std::string first = events_seen.empty() ? "nothing" : events_seen.front();
      if (!events_seen.empty()) events_seen.erase(events_seen.begin());
      return first;
    };
    CHECK(next() == "titles 1");
    CHECK(next() == "list 1");
    put("list.cue", "version: 2, servers: [{id: \"s0\", address: \"127.0.0.1:9\"}]");
    std::string missing = next();
    CAPTURE(missing);
    CHECK(missing.find("list.cue:1:23: servers[0].cell: expected int & >=0") != std::string::npos);
    put("list.cue", "version: 2, servers: [{id: \"a\", address: \"127.0.0.1:99999\", cell: 0}, {id: \"a\", "
                    "address: \"127.0.0.1:9\", cell: 0}]");
    std::string both = next();
    CHECK(both.find("servers[0].address") != std::string::npos);
    CHECK(both.find("servers[1].id") != std::string::npos);
    std::filesystem::remove(folder / "list.cue");
    CHECK(next().find("a readable file") != std::string::npos);
    put("list.cue", valid_list);
    CHECK(next() == "list 1");
    source->request_list();
    CHECK(next() == "list 1");
  }
  std::filesystem::remove_all(folder);
  for (auto open_source : {edge::poll_files, edge::watch_files}) {
    asio::io_context io;
    CHECK_THROWS_WITH(open_source(io, "/nowhere/list.cue", "/nowhere/cat.cue"), Catch::Contains("/nowhere"));
  }
}

TEST_CASE("a play changes state only as the table of states allows") {
  using S = edge::PlayState;
  std::vector<std::pair<S, S>> allowed = {{S::requested, S::allocating}, {S::requested, S::answered},
                                          {S::requested, S::unused},     {S::requested, S::playing},
                                          {S::allocating, S::requested}, {S::allocating, S::playing},
                                          {S::allocating, S::abandoned}, {S::playing, S::unused},
                                          {S::abandoned, S::unused},     {S::answered, S::unused}};
  std::vector<std::vector<S>> paths = {
      {}, {S::allocating}, {S::allocating, S::playing}, {S::allocating, S::abandoned}, {S::answered}};
  for (const auto &path : paths) {
    for (S to : {S::unused, S::requested, S::allocating, S::playing, S::abandoned, S::answered}) {
      edge::PlayTable plays;
      int play = plays.add(1);
      for (S step : path) plays.set_state(play, step);
      bool is_allowed = std::ranges::count(allowed, std::pair(plays.at(play).state, to)) > 0;
      CAPTURE(edge::name_of(plays.at(play).state), edge::name_of(to));
      if (is_allowed)
        CHECK_NOTHROW(plays.set_state(play, to));
      else
        CHECK_THROWS_AS(plays.set_state(play, to), std::logic_error);
      if (is_allowed && to == S::unused)
        CHECK((plays.open_count() == 0 && plays.find(1) == -1 && plays.add(2) == play));
    }
  }
}

namespace {

// The scene's record unified with another one.
config::FrontConfig config_with(const std::string &extra) {
  records::Source files[] = {{"front.cue", kConfig}, {"more.cue", extra}};
  return config::parse_front_config(files);
}

// The text of the scene's record with one part replaced.
std::string config_with_replaced(const std::string &from, const std::string &to) {
  std::string text = kConfig;
  text.replace(text.find(from), from.size(), to);
  return text;
}

config::FrontConfig parse_config(const std::string &text) {
  records::Source file{"front.cue", text};
  return config::parse_front_config({&file, 1});
}

} // namespace

TEST_CASE("a configuration change in service: limits below what is in use are refused and nothing changes") {
  EdgeScene scene;
  RawClient &one = scene.request_play("/play/a?product=live"),
            &two = scene.request_play("/play/b?product=clip");
  REQUIRE(scene.run_until_met([&] { return scene.status(one) == 307 && scene.status(two) == 307; }));
  struct Row {
    std::string text, reason;
  };
  for (const Row &row : {Row{"limits: open_plays: 1", "/front/limits/open_plays"},
                         Row{"limits: connections: 1", "/front/limits/connections"}}) {
    CAPTURE(row.reason);
    auto reason = scene.edge->apply_config(config_with(row.text), false);
    REQUIRE(reason);
    CHECK(reason->find(row.reason) != std::string::npos);
  }
  for (const Row &row :
       {Row{config_with_replaced("top: 3, seats: 1", "top: 1, seats: 1"), "/front/products[name=live]/top"},
        Row{config_with_replaced("1500ms\", top: 3},", "1500ms\", top: 2},"),
            "/front/products[name=clip]/top"}}) {
    CAPTURE(row.reason);
    auto reason = scene.edge->apply_config(parse_config(row.text), false);
    REQUIRE(reason);
    CHECK(reason->find(row.reason) != std::string::npos);
  }
  // A change that needs a new engine is refused while plays are in the table, and so is a port that is in
  // use.
  auto drained = scene.edge->apply_config(parse_config(config_with_replaced("cells: 2", "cells: 4")), true);
  REQUIRE(drained);
  CHECK(drained->find("needs a drain: 2 plays") != std::string::npos);
  asio::ip::tcp::acceptor taken(scene.io, loopback());
  auto port = scene.edge->apply_config(
      parse_config(config_with_replaced(
          "players: \"127.0.0.1:0\"",
          "players: \"127.0.0.1:" + std::to_string(taken.local_endpoint().port()) + "\"")),
      false);
  REQUIRE(port);
  CHECK(port->find("/front/listen/players") != std::string::npos);
  RawClient &three = scene.request_play("/play/b?product=clip"); // served as before
  CHECK(scene.run_until_met([&] { return scene.status(three) == 307; }));
  CHECK(scene.open_plays() == 3);
}

TEST_CASE("a configuration change in service: new plays get the new values, running plays go on") {
  EdgeScene scene;
  RawClient &one = scene.request_play("/play/a");
  REQUIRE(scene.run_until_met([&] { return scene.status(one) == 307; }));
  CHECK(one.received.find("Snowshore-Rung: 3") != std::string::npos);
  REQUIRE_FALSE(scene.edge->apply_config(
      parse_config(config_with_replaced("name: \"paid\", first_frame_target: \"800ms\", time_limit: "
                                        "\"1500ms\", top: 3",
                                        "name: \"paid\", first_frame_target: \"800ms\", time_limit: "
                                        "\"1500ms\", top: 1")),
      false));
  RawClient &two = scene.request_play("/play/a?product=paid");
  REQUIRE(scene.run_until_met([&] { return scene.status(two) == 307; }));
  CHECK(two.received.find("Snowshore-Rung: 1") != std::string::npos);
  REQUIRE_FALSE(scene.edge->apply_config(config_with("take_plays: false"), false));
  RawClient &three = scene.request_play("/play/a");
  REQUIRE(scene.run_until_met([&] { return scene.status(three) == 503; }));
  CHECK(scene.edge->state().service == "draining");
  CHECK(scene.open_plays() == 2);
}

TEST_CASE("a changed player address: requests made at the old address are still answered there") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers_set_ups = false;
  RawClient &one = scene.request_play("/play/a?product=paid");
  REQUIRE(scene.run_until_met([&] { return scene.set_up_count() == 1; }));
  auto before = scene.edge->player_endpoint();
  unsigned short port = asio::ip::tcp::acceptor(scene.io, loopback()).local_endpoint().port();
  std::string moved =
      config_with_replaced("players: \"127.0.0.1:0\"", "players: \"127.0.0.1:" + std::to_string(port) + "\"");
  REQUIRE_FALSE(scene.edge->apply_config(parse_config(moved), false));
  CHECK(scene.edge->player_endpoint().port() == port);
  FakeServer &chosen = scene.server_with_set_ups();
  chosen.set_up_calls[0].exchange->respond(FakeServer::make_response(201));
  CHECK(scene.run_until_met([&] { return scene.status(one) == 307; }));
  asio::ip::tcp::socket late(scene.io);
  asio::error_code refused;
  late.connect(before, refused);
  CHECK(refused);
  for (auto &server : scene.servers) server->answers_set_ups = true;
  RawClient &two = scene.request_play("/play/a");
  CHECK(scene.run_until_met([&] { return scene.status(two) == 307; }));
}

TEST_CASE("a change that needs a drain: the new engine starts with the list that is known") {
  EdgeScene scene;
  RawClient &one = scene.request_play("/play/a");
  REQUIRE(scene.run_until_met([&] { return scene.status(one) == 307; }));
  std::string two_rungs = config_with_replaced(
      "rungs: [{rate: \"100kB/s\", importance: 0.2}, {rate: \"200kB/s\", importance: 0.5},\n"
      "  {rate: \"400kB/s\", importance: 0.8}, {rate: \"800kB/s\", importance: 1}]",
      "rungs: [{rate: \"100kB/s\", importance: 0.2}, {rate: \"200kB/s\", importance: 0.5}]");
  for (std::size_t at; (at = two_rungs.find("top: 3")) != std::string::npos;)
    two_rungs.replace(at, 6, "top: 1");
  REQUIRE(scene.edge->apply_config(parse_config(two_rungs), true));
  FakeServer &server = scene.server_with_set_ups();
  server.send_end(server.set_up_calls[0].set_up.play, "done");
  REQUIRE(scene.run_until_met([&] { return scene.open_plays() == 0; }));
  REQUIRE_FALSE(scene.edge->apply_config(parse_config(two_rungs), true));
  CHECK(scene.edge->state().list_version == 1);
  scene.run_for(0.25); // a new engine counts all servers as cold
  RawClient &two = scene.request_play("/play/a");
  REQUIRE(scene.run_until_met([&] { return scene.status(two) == 307; }));
  CHECK(two.received.find("Snowshore-Rung: 1") != std::string::npos);
  auto state = scene.edge->state();
  REQUIRE(state.servers.size() == 2);
  CHECK(state.servers[0].view.plays + state.servers[1].view.plays == 1);
}
