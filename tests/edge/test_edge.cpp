#include "edge/scene.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace snowshore;
using namespace snowshore::testing;

TEST_CASE("a play is set up once, its player redirected, its end heard and nothing kept") {
  EdgeScene scene;
  RawClient &player = scene.ask("/play/a?CMCD=sid%3D%22x%22%2Ctb%3D3300%2C%3D%3D%2Cnew%3D1");
  REQUIRE(scene.until([&] { return EdgeScene::status(player) == 307; }));
  FakeServer &server = scene.server_asked();
  CHECK(scene.set_ups() == 1);
  CHECK(server.asked[0].set_up.rung == 2); // tb allows 3200 kbit/s
  CHECK(server.asked[0].set_up.expires_in > 0.1);
  std::string play = server.asked[0].set_up.play;
  CHECK(player.received.find("/media/" + play + "?title=a&rung=2") != std::string::npos);
  CHECK(player.received.find("Snowshore-Play: " + play) != std::string::npos);
  CHECK(scene.metric("snowshore_hints_malformed_total") == 1);
  CHECK(scene.metric("snowshore_hints_unknown_total") == 1);
  REQUIRE(scene.until([&] { return !server.streams.empty(); }));
  CHECK(scene.open() == 1);
  server.tell_end(play, "done");
  CHECK(scene.until([&] { return scene.open() == 0; }));
  CHECK(scene.metric("snowshore_plays_total") == 1);
}

TEST_CASE(
    "an answer that is lost and comes late: the next allocation plays, the first is ended, one outcome") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &player = scene.ask();
  REQUIRE(scene.until([&] { return scene.set_ups() == 2; }));
  auto &first = scene.servers[0]->asked.empty() || scene.servers[0]->asked[0].set_up.allocation
                    ? *scene.servers[1]
                    : *scene.servers[0];
  auto &second = &first == scene.servers[0].get() ? *scene.servers[1] : *scene.servers[0];
  first.asked[0].exchange->respond(FakeServer::says(201)); // while the second is out
  scene.run_for(0.05);
  CHECK(EdgeScene::status(player) == 0);
  second.asked[0].exchange->respond(FakeServer::says(201));
  REQUIRE(scene.until([&] { return EdgeScene::status(player) == 307; }));
  CHECK(player.received.find(std::to_string(second.at.port())) != std::string::npos);
  CHECK(
      scene.until([&] { return first.ended.size() >= 2; })); // at the time-out, and when it started after all
  CHECK(second.ended.empty());
  CHECK(player.count("HTTP/1.1 ") == 1);
  CHECK(scene.metric("snowshore_late_answers_total") == 1);
}

TEST_CASE("what may have run is set up again only where that is safe; each way has one outcome") {
  struct Row {
    const char *product;
    const char *how;
    int status;
    std::size_t set_ups;
  };
  for (Row row : {Row{"clip", "reset", 307, 2}, Row{"paid", "reset", 502, 1}, Row{"clip", "nonsense", 307, 2},
                  Row{"paid", "nonsense", 502, 1}, Row{"clip", "busy", 307, 2}, Row{"paid", "busy", 307, 2},
                  Row{"paid", "silent", 504, 1}}) {
    CAPTURE(row.product, row.how);
    EdgeScene scene;
    for (auto &server : scene.servers) server->answers = false;
    RawClient &player = scene.ask(std::string("/play/a?product=") + row.product);
    REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
    FakeServer &server = scene.server_asked();
    std::string how = row.how;
    for (auto &other : scene.servers) other->answers = true;
    if (how == "reset") server.asked[0].exchange->reset_connection();
    if (how == "busy") server.asked[0].exchange->respond(FakeServer::says(503));
    if (how == "nonsense") {
      http::Response nonsense;
      nonsense.headers.add("CMSD-Dynamic", "\"x\";com.snowshore-link=full;;");
      nonsense.body = "<html>";
      server.asked[0].exchange->respond(nonsense);
    }
    REQUIRE(scene.until([&] { return EdgeScene::status(player) != 0; }));
    CHECK(EdgeScene::status(player) == row.status);
    scene.run_for(0.1);
    CHECK(scene.set_ups() == row.set_ups);
    CHECK(player.count("HTTP/1.1 ") == 1);
    CHECK((how == "busy" || server.ended.size() >= 1)); // told to end what may run
    CHECK(scene.open() == (row.status == 307 ? 1 : 0));
  }
}

TEST_CASE(
    "a player that leaves: between allocation and answer its set-up is withdrawn, and nothing is kept") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &player = scene.ask();
  REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
  player.socket.close();
  FakeServer &server = scene.server_asked();
  CHECK(scene.until([&] { return server.ended.size() == 1; }));
  CHECK(scene.open() == 0);
  server.asked[0].exchange->respond(FakeServer::says(201)); // too late for anyone
  scene.run_for(0.05);
  CHECK(scene.open() == 0);
  CHECK(scene.set_ups() == 1);
}

TEST_CASE("drain news between set-up and answer: the play plays, nothing new goes there") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &player = scene.ask();
  REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
  FakeServer &server = scene.server_asked();
  bool is_first = &server == scene.servers[0].get();
  scene.publish(is_first ? std::vector{ServerStatus::leaving, ServerStatus::active}
                         : std::vector{ServerStatus::active, ServerStatus::leaving});
  server.asked[0].exchange->respond(FakeServer::says(201));
  REQUIRE(scene.until([&] { return EdgeScene::status(player) == 307; }));
  for (auto &other : scene.servers) other->answers = true;
  for (int i = 0; i < 6; ++i) scene.ask(i % 2 ? "/play/a" : "/play/b");
  scene.until([&] { return scene.set_ups() == 7; }, 1);
  CHECK(server.asked.size() == 1);
}

TEST_CASE(
    "a list replaced whole in a burst, an older one, and one out of reach: every play has its outcome") {
  EdgeScene scene(4);
  std::vector<RawClient *> players;
  for (int i = 0; i < 40; ++i) {
    players.push_back(&scene.ask(i % 2 ? "/play/a" : "/play/b"));
    if (i % 8 == 3) scene.publish();
    if (i % 8 == 5) scene.publish({ServerStatus::active, ServerStatus::left});
    if (i == 20) scene.list->events.unavailable("gone");
    if (i == 30) scene.version = 0, scene.publish();
  }
  CHECK(scene.until(
      [&] { return std::ranges::all_of(players, [](auto *p) { return EdgeScene::status(*p) != 0; }); }));
  for (RawClient *player : players) CHECK(player->count("HTTP/1.1 ") == 1);
  CHECK(scene.until([&] { return scene.list->asked > 0; })); // the module asks anew
}

TEST_CASE("a report stream that breaks: missed ends, a restart and strangers show when it is back") {
  struct Row {
    bool restarted, held;
    double open;
  };
  for (Row row : {Row{false, true, 1}, Row{false, false, 0}, Row{true, false, 0}}) {
    CAPTURE(row.restarted, row.held);
    EdgeScene scene;
    RawClient &player = scene.ask();
    REQUIRE(scene.until([&] { return EdgeScene::status(player) == 307; }));
    FakeServer &server = scene.server_asked();
    REQUIRE(scene.until([&] { return !server.streams.empty(); }));
    std::string play = server.asked[0].set_up.play;
    scene.run_for(0.05);
    if (row.restarted) server.started += 50;
    server.holds.clear();
    if (row.held) server.holds.push_back(play);
    server.holds.push_back("f0-earlier-1");
    server.streams.back()->reset_connection();
    REQUIRE(scene.until([&] { return server.streams.size() == 2; }));
    CHECK(scene.until([&] { return std::ranges::count(server.ended, "f0-earlier-1") == 1; }));
    CHECK(scene.open() == row.open);
  }
}

TEST_CASE("a server that goes silent, or whose process is gone, holds no play for ever") {
  for (bool refused : {false, true}) {
    CAPTURE(refused);
    EdgeScene scene;
    RawClient &player = scene.ask();
    REQUIRE(scene.until([&] { return EdgeScene::status(player) == 307; }));
    FakeServer &server = scene.server_asked();
    REQUIRE(scene.until([&] { return !server.streams.empty(); }));
    if (refused) server.server->stop(true);
    server.mute = true;
    auto from = std::chrono::steady_clock::now();
    CHECK(scene.until([&] { return scene.open() == 0; }, 5));
    double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
    CHECK(took < (refused ? 1.0 : 4.0));
    CHECK(scene.metric("snowshore_lost_servers_total") >= 1);
  }
}

TEST_CASE(
    "a front that stood still finds everything at once: answers that lie there count, plays are not lost") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &playing = scene.ask();
  REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
  FakeServer &server = scene.server_asked();
  server.holds.push_back(server.asked[0].set_up.play);
  // The answer is written, then the whole process stands still past the allocation's time-out and past
  // lost_after.
  server.asked[0].exchange->respond(FakeServer::says(201));
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  REQUIRE(scene.until([&] { return EdgeScene::status(playing) != 0; }));
  CHECK(EdgeScene::status(playing) == 307);
  CHECK(playing.count("HTTP/1.1 ") == 1);
  scene.until([&] { return !server.streams.empty(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  scene.run_for(0.2);
  CHECK(scene.open() == 1);
  CHECK(scene.metric("snowshore_lost_servers_total") == 0);
  // Asked for, then stood still past the time limit: one answer, at once.
  for (auto &other : scene.servers) other->answers = false;
  RawClient &late = scene.ask();
  REQUIRE(scene.until([&] { return scene.set_ups() == 2; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1700));
  CHECK(scene.until([&] { return EdgeScene::status(late) != 0; }, 0.3));
  CHECK(late.count("HTTP/1.1 ") == 1);
}

TEST_CASE("requests that are no plays are answered for what they are") {
  struct Row {
    const char *target, *more;
    int status;
  };
  EdgeScene scene;
  for (Row row : {Row{"/", "", 404}, Row{"/play/", "", 404}, Row{"/play/none", "", 404},
                  Row{"/play/a?product=x", "", 400}, Row{"/play/a?time_left=soon", "", 400},
                  Row{"/play/a?length=-1", "", 400}, Row{"/play/a", "Content-Length: 2\r\n\r\nhi", 400},
                  Row{"/play/%zz", "", 400}}) {
    CAPTURE(row.target);
    RawClient &peer = scene.ask(row.target, row.more);
    CHECK(scene.until([&] { return EdgeScene::status(peer) == row.status; }));
  }
  CHECK(scene.set_ups() == 0);
  CHECK(scene.metric("snowshore_plays_taken_total") == 0);
  // A title that would split an answer plays, and splits none.
  RawClient &peer = scene.ask("/play/a%0d%0aSet-Cookie:%20x=1");
  REQUIRE(scene.until([&] { return EdgeScene::status(peer) == 307; }));
  CHECK(peer.received.find("\r\nSet-Cookie") == std::string::npos);
  CHECK(scene.server_asked().asked[0].set_up.title == "a\r\nSet-Cookie: x=1");
}

TEST_CASE("limits: open plays, seats, the player's own time; declines come at once with a retry-after") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  scene.ask("/play/a?product=live");
  REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
  RawClient &second = scene.ask("/play/a?product=live");
  REQUIRE(scene.until([&] { return EdgeScene::status(second) == 503; }, 0.2));
  CHECK(second.received.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(second.received.find("Snowshore-Play: ") != std::string::npos);
  RawClient &hasty = scene.ask("/play/b?time_left=0.25");
  CHECK(scene.until([&] { return EdgeScene::status(hasty) != 0; }, 0.45));
  EdgeScene full(2, "limits: open_plays: 1");
  for (auto &server : full.servers) server->answers = false;
  full.ask();
  REQUIRE(full.until([&] { return full.set_ups() == 1; }));
  RawClient &over = full.ask("/play/b");
  REQUIRE(full.until([&] { return EdgeScene::status(over) == 503; }));
  CHECK(over.received.find("Snowshore-Play") == std::string::npos);
}

TEST_CASE("draining: nothing new is taken, what is in hand is answered, then it is done") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &player = scene.ask(), &kept = scene.ask("/play/none");
  REQUIRE(scene.until([&] { return scene.set_ups() == 1 && EdgeScene::status(kept) == 404; }));
  bool drained = false;
  scene.edge->drain([&] { drained = true; });
  kept.send("GET /play/a HTTP/1.1\r\nHost: f\r\n\r\n");
  CHECK(scene.until([&] { return kept.count("503 Service") == 1; }));
  CHECK(!drained);
  scene.server_asked().asked[0].exchange->respond(FakeServer::says(201));
  CHECK(scene.until([&] { return drained; }));
  CHECK(EdgeScene::status(player) == 307);
}

TEST_CASE("a reload changes limits and log level and names what needs a restart") {
  EdgeScene scene;
  auto read = [](const std::string &more) {
    records::Source files[] = {{"front.cue", kRecord}, {"more.cue", more}};
    return site::parse_front_config(files);
  };
  CHECK(scene.edge->reload(read("limits: idle_time: \"9s\", log: level: \"debug\"")).empty());
  auto rest = scene.edge->reload(read("fronts: 3"));
  REQUIRE(rest.size() == 1);
  CHECK(rest[0] == "fronts");
  struct Row {
    const char *more, *says;
  };
  for (Row row :
       {Row{"index: 1", "index: expected an index below the number of fronts"},
        Row{"products: [{floor: 9}, ...]", "products[0].floor"}, Row{"fleet: racks: 5", "fleet.racks"},
        Row{"rules: fall_span: \"0s\"", "rules.fall_span"}, Row{"rules: fall_spam: \"1s\"", "fall_spam"},
        Row{"limits: lost_after: \"100ms\"", "limits.lost_after"},
        Row{"products: [{first_frame_target: \"2s\"}, ...]", "products[0].first_frame_target"}}) {
    CAPTURE(row.more);
    std::string said;
    try {
      read(row.more);
    } catch (const records::RecordError &error) {
      said = error.what();
    }
    CAPTURE(said);
    CHECK(said.find(row.says) != std::string::npos);
  }
}

TEST_CASE(
    "list files: taken when renamed over, refused whole with the place when bad, back when right again") {
  auto folder = std::filesystem::temp_directory_path() / ("snowshore-list-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  auto put = [&](const char *name, const std::string &text) {
    std::ofstream(folder / "new") << text;
    std::filesystem::rename(folder / "new", folder / name);
  };
  for (bool polled : {false, true}) {
    CAPTURE(polled);
    std::string right = "version: 1, servers: [{id: \"s0\", address: \"127.0.0.1:9\", cell: 0}]";
    put("list.cue", right);
    put("cat.cue", "version: 1, titles: {a: {cell: 0, cells: 1}}");
    asio::io_context io;
    auto open = polled ? edge::poll_files : edge::watch_files;
    auto source = open(io, (folder / "list.cue").string(), (folder / "cat.cue").string());
    CHECK(source->is_polling() == polled);
    std::vector<std::string> heard;
    edge::ListSource::Events events;
    events.list = [&](edge::ServerList list) {
      heard.push_back("list " + std::to_string(list.servers.size()));
    };
    events.catalogue = [&](edge::Catalogue catalogue) {
      heard.push_back("titles " + std::to_string(catalogue.size()));
    };
    events.unavailable = [&](const std::string &why) { heard.push_back(why); };
    source->start(std::move(events));
    auto next = [&] {
      run_until(io, [&] { return !heard.empty(); });
      std::string first = heard.empty() ? "nothing" : heard.front();
      if (!heard.empty()) heard.erase(heard.begin());
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
    CHECK(next().find("a file that can be read") != std::string::npos);
    put("list.cue", right);
    CHECK(next() == "list 1");
    source->request_list();
    CHECK(next() == "list 1");
  }
  std::filesystem::remove_all(folder);
  for (auto open : {edge::poll_files, edge::watch_files}) {
    asio::io_context io;
    CHECK_THROWS_WITH(open(io, "/nowhere/list.cue", "/nowhere/cat.cue"), Catch::Contains("/nowhere"));
  }
}

TEST_CASE("a play goes only from state to state as the table allows") {
  using S = edge::PlayState;
  std::vector<std::pair<S, S>> allowed = {{S::requested, S::allocating}, {S::requested, S::answered},
                                          {S::requested, S::unused},     {S::requested, S::playing},
                                          {S::allocating, S::requested}, {S::allocating, S::playing},
                                          {S::allocating, S::abandoned}, {S::playing, S::unused},
                                          {S::abandoned, S::unused},     {S::answered, S::unused}};
  std::vector<std::vector<S>> ways = {
      {}, {S::allocating}, {S::allocating, S::playing}, {S::allocating, S::abandoned}, {S::answered}};
  for (const auto &way : ways) {
    for (S to : {S::unused, S::requested, S::allocating, S::playing, S::abandoned, S::answered}) {
      edge::PlayTable plays;
      int play = plays.add(1);
      for (S step : way) plays.set_state(play, step);
      bool may = std::ranges::count(allowed, std::pair(plays.at(play).state, to)) > 0;
      CAPTURE(edge::name_of(plays.at(play).state), edge::name_of(to));
      if (may)
        CHECK_NOTHROW(plays.set_state(play, to));
      else
        CHECK_THROWS_AS(plays.set_state(play, to), std::logic_error);
      if (may && to == S::unused)
        CHECK((plays.open_count() == 0 && plays.find(1) == -1 && plays.add(2) == play));
    }
  }
}

namespace {

site::FrontConfig with(const std::string &more) {
  records::Source files[] = {{"front.cue", kRecord}, {"more.cue", more}};
  return site::parse_front_config(files);
}

std::string instead(const std::string &from, const std::string &to) { // of the scene's record
  std::string text = kRecord;
  text.replace(text.find(from), from.size(), to);
  return text;
}

site::FrontConfig read_text(const std::string &text) {
  records::Source file{"front.cue", text};
  return site::parse_front_config({&file, 1});
}

} // namespace

TEST_CASE("a record changed in service: limits under what is in use are refused and nothing changes") {
  EdgeScene scene;
  RawClient &one = scene.ask("/play/a?product=live"), &two = scene.ask("/play/b?product=clip");
  REQUIRE(scene.until([&] { return scene.status(one) == 307 && scene.status(two) == 307; }));
  struct Row {
    std::string text, why;
  };
  for (const Row &row : {Row{"limits: open_plays: 1", "/front/limits/open_plays"},
                         Row{"limits: connections: 1", "/front/limits/connections"}}) {
    CAPTURE(row.why);
    auto why = scene.edge->change(with(row.text), false);
    REQUIRE(why);
    CHECK(why->find(row.why) != std::string::npos);
  }
  for (const Row &row :
       {Row{instead("top: 3, seats: 1", "top: 1, seats: 1"), "/front/products[name=live]/top"},
        Row{instead("1500ms\", top: 3},", "1500ms\", top: 2},"), "/front/products[name=clip]/top"}}) {
    CAPTURE(row.why);
    auto why = scene.edge->change(read_text(row.text), false);
    REQUIRE(why);
    CHECK(why->find(row.why) != std::string::npos);
  }
  // Products and rungs cannot change their number while plays are in hand, nor with a port that is taken.
  auto drained = scene.edge->change(read_text(instead("cells: 2", "cells: 4")), true);
  REQUIRE(drained);
  CHECK(drained->find("needs a drain: 2 plays") != std::string::npos);
  asio::ip::tcp::acceptor taken(scene.io, loopback());
  auto port = scene.edge->change(
      read_text(instead("players: \"127.0.0.1:0\"",
                        "players: \"127.0.0.1:" + std::to_string(taken.local_endpoint().port()) + "\"")),
      false);
  REQUIRE(port);
  CHECK(port->find("/front/listen/players") != std::string::npos);
  RawClient &three = scene.ask("/play/b?product=clip"); // all as before
  CHECK(scene.until([&] { return scene.status(three) == 307; }));
  CHECK(scene.open() == 3);
}

TEST_CASE("a record changed in service: new plays meet the new values, plays in hand go on") {
  EdgeScene scene;
  RawClient &one = scene.ask("/play/a");
  REQUIRE(scene.until([&] { return scene.status(one) == 307; }));
  CHECK(one.received.find("Snowshore-Rung: 3") != std::string::npos);
  REQUIRE_FALSE(
      scene.edge->change(read_text(instead("name: \"paid\", first_frame_target: \"800ms\", time_limit: "
                                           "\"1500ms\", top: 3",
                                           "name: \"paid\", first_frame_target: \"800ms\", time_limit: "
                                           "\"1500ms\", top: 1")),
                         false));
  RawClient &two = scene.ask("/play/a?product=paid");
  REQUIRE(scene.until([&] { return scene.status(two) == 307; }));
  CHECK(two.received.find("Snowshore-Rung: 1") != std::string::npos);
  REQUIRE_FALSE(scene.edge->change(with("take_plays: false"), false));
  RawClient &three = scene.ask("/play/a");
  REQUIRE(scene.until([&] { return scene.status(three) == 503; }));
  CHECK(scene.edge->state().service == "draining");
  CHECK(scene.open() == 2);
}

TEST_CASE("a record changed in service: the address moves, what was asked at the old one is answered there") {
  EdgeScene scene;
  for (auto &server : scene.servers) server->answers = false;
  RawClient &one = scene.ask("/play/a?product=paid");
  REQUIRE(scene.until([&] { return scene.set_ups() == 1; }));
  auto before = scene.edge->players();
  unsigned short port = asio::ip::tcp::acceptor(scene.io, loopback()).local_endpoint().port();
  std::string moved =
      instead("players: \"127.0.0.1:0\"", "players: \"127.0.0.1:" + std::to_string(port) + "\"");
  REQUIRE_FALSE(scene.edge->change(read_text(moved), false));
  CHECK(scene.edge->players().port() == port);
  FakeServer &asked = scene.server_asked();
  asked.asked[0].exchange->respond(FakeServer::says(201));
  CHECK(scene.until([&] { return scene.status(one) == 307; }));
  asio::ip::tcp::socket late(scene.io);
  asio::error_code refused;
  late.connect(before, refused);
  CHECK(refused);
  for (auto &server : scene.servers) server->answers = true;
  RawClient &two = scene.ask("/play/a");
  CHECK(scene.until([&] { return scene.status(two) == 307; }));
}

TEST_CASE("a record changed with the front drained: the module is made anew with the list in hand") {
  EdgeScene scene;
  RawClient &one = scene.ask("/play/a");
  REQUIRE(scene.until([&] { return scene.status(one) == 307; }));
  std::string four =
      instead("rungs: [{rate: \"100kB/s\", importance: 0.2}, {rate: \"200kB/s\", importance: 0.5},\n"
              "  {rate: \"400kB/s\", importance: 0.8}, {rate: \"800kB/s\", importance: 1}]",
              "rungs: [{rate: \"100kB/s\", importance: 0.2}, {rate: \"200kB/s\", importance: 0.5}]");
  for (std::size_t at; (at = four.find("top: 3")) != std::string::npos;) four.replace(at, 6, "top: 1");
  REQUIRE(scene.edge->change(read_text(four), true));
  FakeServer &server = scene.server_asked();
  server.tell_end(server.asked[0].set_up.play, "done");
  REQUIRE(scene.until([&] { return scene.open() == 0; }));
  REQUIRE_FALSE(scene.edge->change(read_text(four), true));
  CHECK(scene.edge->state().list_version == 1);
  scene.run_for(0.25); // a module without memory holds servers to be cold
  RawClient &two = scene.ask("/play/a");
  REQUIRE(scene.until([&] { return scene.status(two) == 307; }));
  CHECK(two.received.find("Snowshore-Rung: 1") != std::string::npos);
  auto state = scene.edge->state();
  REQUIRE(state.servers.size() == 2);
  CHECK(state.servers[0].view.plays + state.servers[1].view.plays == 1);
}
