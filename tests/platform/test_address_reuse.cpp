// A new server process at an address that another server had: what belongs to the address, to the server's
// id, to the process and to the connection. The server of a test plays both processes, which share its
// listener.
#include "platform/platform_fixture.h"
#include "platform/process_continuity.h"
#include "registry/server_registry.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// The order in which discovery tells that the old server has gone and that the new one is ready.
enum class Told { gone_first, ready_first, together, only_ready, only_gone };

// A play at server 1, whose process then ends; a new process listens at the same address at once.
struct AddressScene : PlatformScene {
  RawClient &viewer;
  ScriptedServer &process;
  std::string old_tag;
  std::uint64_t next_event = 2;

  explicit AddressScene(int count = 1, const std::function<void(nlohmann::json &)> &adapt = {})
      : PlatformScene(count, "safe", adapt), viewer(connect_viewer()), process(*servers[0]) {
    if (!until([&] { return channel.connections.size() == 1; }))
      throw std::runtime_error("the front end does not connect to discovery");
  }
  void start_old_play() { old_tag = start_play(viewer).second; }
  // Ends the process: its connections are reset. The listener stays for the next process.
  void replace_process() {
    for (auto &connection : process.server.connections) {
      connection->socket.set_option(asio::socket_base::linger(true, 0));
      connection->socket.close();
    }
    process.server.connections.clear();
    process.set_ups.clear();
    process.released.clear();
  }
  // An old play, and the connection that the front end has opened to the next process.
  RawServer::Connection &replace_process_under_play() {
    start_old_play();
    replace_process();
    return next_connection();
  }
  // Waits for the connection that the front end opens to the address after the old one was reset.
  RawServer::Connection &next_connection() {
    if (!until([&] { return !process.server.connections.empty(); }, 2))
      throw std::runtime_error("the front end does not connect again");
    return *process.server.connections.back();
  }
  void tell(const std::string &records) { send_on_channel(frame(next_event++, 2, records)); }
  std::string gone(std::uint32_t id) const { return record(record_of(id, process, 2)); }
  std::string ready(std::uint32_t id) const {
    return record(record_of(id, process, 0, static_cast<std::uint64_t>(unix_now() * 1000)));
  }
  // Server 1 has gone, and server 3 is at its address.
  void tell_replacement(Told order) {
    if (order == Told::gone_first) tell(gone(1)), run(0.1), tell(ready(3));
    if (order == Told::ready_first) tell(ready(3)), run(0.1), tell(gone(1));
    if (order == Told::together) tell(ready(3) + gone(1));
    if (order == Told::only_ready) tell(ready(3));
    if (order == Told::only_gone) tell(gone(1));
    run(0.1);
  }
  static double unix_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  std::string release_of(const std::string &tag, int cause = 16) const {
    return ScriptedServer::request(tag, "TEARDOWN", {{"Reason", "cause=" + std::to_string(cause)}});
  }
  std::string note_on(const std::string &tag) const {
    return ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}});
  }
  bool is_told(const std::string &tag, double seconds = 1) {
    return until([&] { return has_received(viewer, "FINISH", tag); }, seconds);
  }
  bool was_released(const std::string &tag) const {
    return std::ranges::find(process.released, tag) != process.released.end();
  }
};

} // namespace

TEST_CASE(
    "address reuse: a release on a connection opened for the address's earlier server is not passed on") {
  for (Told order : {Told::gone_first, Told::ready_first, Told::together, Told::only_ready}) {
    CAPTURE(static_cast<int>(order));
    AddressScene scene;
    RawServer::Connection &stray = scene.replace_process_under_play();
    scene.tell_replacement(order);
    auto [server, tag] = scene.start_play(scene.viewer);
    // The connection of the set-up closes, so that the release takes another open one.
    RawServer::Connection *of_set_up = scene.process.set_ups.back().connection;
    of_set_up->socket.close();
    RawServer::send(stray, scene.release_of(tag));
    CHECK(scene.is_told(tag));
    CHECK(scene.until([&] { return stray.received.empty(); }, 0.1));
  }
}

TEST_CASE("address reuse: sessions of the earlier process are held while the new one speaks") {
  for (Told order :
       {Told::gone_first, Told::ready_first, Told::together, Told::only_ready, Told::only_gone}) {
    CAPTURE(static_cast<int>(order));
    AddressScene scene;
    RawServer::Connection &next = scene.replace_process_under_play();
    // Notes on a session of some other front end.
    for (int i = 0; i < 3; ++i) RawServer::send(next, scene.note_on("00000000000000aa")), scene.run(0.05);
    scene.tell_replacement(order);
    CHECK(scene.is_told(scene.old_tag));
  }
}

TEST_CASE("address reuse: sessions of the earlier process are held while newer ones stand under its id") {
  for (Told order :
       {Told::gone_first, Told::ready_first, Told::together, Told::only_ready, Told::only_gone}) {
    CAPTURE(static_cast<int>(order));
    AddressScene scene;
    scene.replace_process_under_play();
    // Discovery has told nothing yet: the set-up reaches the new process under the old id.
    auto [server, newer] = scene.start_play(scene.viewer);
    RawServer::Connection *of_set_up = scene.process.set_ups.back().connection;
    RawServer::send(*of_set_up, scene.note_on(newer));
    scene.tell_replacement(order);
    CHECK(scene.is_told(scene.old_tag));
    CHECK_FALSE(PlatformScene::has_received(scene.viewer, "FINISH", newer));
    RawServer::send(*of_set_up, scene.release_of(newer));
    CHECK(scene.is_told(newer));
  }
}

TEST_CASE(
    "address reuse: a release of a session set up under the earlier id is dropped on a connection of the new "
    "server") {
  AddressScene scene;
  scene.replace_process_under_play();
  auto [server, newer] = scene.start_play(scene.viewer);
  RawServer::Connection *under_old_id = scene.process.set_ups.back().connection;
  scene.tell_replacement(Told::gone_first);
  // This session's connection is opened for the new server.
  scene.start_play(scene.viewer);
  RawServer::Connection *under_new_id = scene.process.set_ups.back().connection;
  REQUIRE(under_new_id != under_old_id);
  RawServer::send(*under_new_id, scene.release_of(newer));
  CHECK(scene.is_told(newer));
}

TEST_CASE(
    "address reuse: a client's release of a session set up under the earlier id never reaches the process") {
  AddressScene scene;
  scene.replace_process_under_play();
  auto [server, newer] = scene.start_play(scene.viewer);
  scene.tell_replacement(Told::gone_first);
  scene.viewer.send(PlatformScene::finish_line(newer));
  CHECK(scene.until([&] { return scene.was_released(newer); }, 1));
}

TEST_CASE("address reuse: a release before the answer is dropped on another connection of the same process") {
  AddressScene scene;
  RawServer::Connection &stray = scene.replace_process_under_play();
  scene.tell_replacement(Told::together);
  scene.process.behavior = "silent";
  std::string tag = scene.next_tag();
  scene.viewer.send(PlatformScene::start_line(tag));
  REQUIRE(scene.until([&] { return !scene.process.set_ups.empty(); }, 1));
  // As a reset of the set-up, which does not wait for its time-out.
  RawServer::send(stray, scene.release_of(tag, 41));
  const auto &outcomes = scene.front->servers().counters().outcomes;
  auto count = [&](Outcome outcome) { return outcomes[static_cast<std::size_t>(outcome)]; };
  CHECK(scene.until([&] { return count(Outcome::reset) + count(Outcome::timed_out) > 0; }, 2));
  CHECK(count(Outcome::reset) == 1);
  CHECK(count(Outcome::timed_out) == 0);
}

TEST_CASE("address reuse: a release by another server ends a session that stands elsewhere") {
  AddressScene scene(2);
  auto [server, tag] = scene.start_play(scene.viewer);
  ScriptedServer &other = *scene.servers[server == scene.servers[0].get() ? 1 : 0];
  // Some play at the other server, for a connection to it.
  for (int i = 0; i < 8 && other.set_ups.empty(); ++i) scene.start_play(scene.viewer);
  REQUIRE_FALSE(other.set_ups.empty());
  RawServer::send(*other.set_ups.back().connection, scene.release_of(tag));
  CHECK_FALSE(scene.is_told(tag, 0.3));
  RawServer::send(*server->set_ups.front().connection, scene.release_of(tag));
  CHECK(scene.is_told(tag));
}

TEST_CASE("address reuse: a set-up that waits for a connection is sent to an address that has a new server") {
  AddressScene scene(1, [](nlohmann::json &config) { config["settings"]["limits"]["connect_timeout"] = 1; });
  FullBacklog full(scene.io, scene.process.server);
  std::string tag = scene.next_tag();
  scene.viewer.send(PlatformScene::start_line(tag));
  REQUIRE(scene.until([&] { return scene.front->servers().connections() > 0; }, 1));
  scene.tell(scene.gone(1));
  CHECK(scene.is_told(tag));
  // The wait has ended by the list's news and not by the time for a connection.
  const auto &counters = scene.front->servers().counters();
  CHECK(counters.disconnects[static_cast<std::size_t>(rtsp::EndReason::no_capacity)] == 1);
  CHECK(counters.disconnects[static_cast<std::size_t>(rtsp::EndReason::connect_failed)] == 0);
  full.release();
  scene.run(1.3);
  CHECK(scene.process.set_ups.empty());
}

TEST_CASE("address reuse: sessions that were handed over under the earlier id are held") {
  AddressScene scene;
  scene.viewer.send(R"({"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0})"
                    "\n");
  REQUIRE(
      scene.until([&] { return PlatformScene::has_received(scene.viewer, "ECHOED", "0000000000000001"); }));
  std::string tag = scene.next_tag();
  scene.viewer.send(PlatformScene::start_line(tag, ";at:s-00000001", "7f3a9c21e0b4d655", "4294967"));
  RawServer::Connection &next = scene.next_connection();
  RawServer::send(next, scene.note_on("00000000000000aa"));
  scene.run(0.05);
  scene.tell_replacement(Told::ready_first);
  CHECK(scene.is_told(tag));
}

TEST_CASE("address reuse: a release heard before the hand-over counts for the server that has the address") {
  AddressScene scene;
  RawServer::Connection &stray = scene.replace_process_under_play();
  // Its start is not told, which would end the play.
  scene.tell(record(scene.record_of(3, scene.process, 0)));
  scene.run(0.1);
  std::string tag = scene.next_tag();
  RawServer::send(stray, scene.release_of(tag));
  REQUIRE(scene.until([&] { return scene.front->servers().counters().unknown_sessions >= 1; }, 1));
  scene.viewer.send(PlatformScene::start_line(tag, ";at:s-00000003", "7f3a9c21e0b4d655", "4294967"));
  CHECK(scene.is_told(tag));
}

TEST_CASE("address reuse: a server that comes back with its own id is taken for the process before") {
  AddressScene scene;
  RawServer::Connection &next = scene.replace_process_under_play();
  RawServer::send(next, scene.note_on("00000000000000aa"));
  scene.tell(scene.gone(1));
  scene.run(0.1);
  scene.tell(scene.ready(1));
  CHECK(scene.is_told(scene.old_tag));
  auto [server, tag] = scene.start_play(scene.viewer);
  RawServer::send(*scene.process.set_ups.back().connection, scene.release_of(tag));
  CHECK(scene.is_told(tag));
}

TEST_CASE("address reuse: two servers that swap their addresses keep sessions of the processes before") {
  AddressScene scene(2);
  auto [first, first_tag] = scene.start_play(scene.viewer);
  ScriptedServer &second = *scene.servers[first == scene.servers[0].get() ? 1 : 0];
  std::string second_tag;
  for (int i = 0; i < 8 && second.set_ups.empty(); ++i) second_tag = scene.start_play(scene.viewer).second;
  REQUIRE_FALSE(second.set_ups.empty());
  scene.tell(record(scene.record_of(1, *scene.servers[1], 0)) +
             record(scene.record_of(2, *scene.servers[0], 0)));
  CHECK(scene.is_told(first_tag));
  CHECK(scene.is_told(second_tag));
  // Both serve again.
  for (auto &server : scene.servers) server->set_ups.clear();
  auto both_serve = [&] { return !scene.servers[0]->set_ups.empty() && !scene.servers[1]->set_ups.empty(); };
  for (int i = 0; i < 40 && !both_serve(); ++i) {
    scene.viewer.send(PlatformScene::start_line(scene.next_tag()));
    scene.run(0.1);
  }
  CHECK(both_serve());
}

// A session held at 3 belongs to the process that is heard last, or to one before.
TEST_CASE("continuity: a connection to a new process is taken for one to the process before") {
  struct Row {
    const char *name;
    // Since when, and when something was heard.
    std::vector<std::pair<double, double>> heard;
    bool includes;
  };
  for (const Row &row : std::vector<Row>{
           {"one connection", {{1, 3}, {1, 9}}, true},
           {"a second connection beside the first", {{1, 3}, {4, 5}, {1, 6}, {4, 7}}, true},
           {"a second connection, the first is heard no more", {{1, 3}, {4, 5}, {4, 7}}, false},
           {"a new connection after the first has ended", {{1, 3}, {4, 5}}, false},
           {"a new connection, and a message about the session", {{1, 3}, {4, 5}, {3, 6}}, true},
           {"a new connection, and a message about another session of the old process",
            {{1, 3}, {4, 5}, {2, 6}},
            true},
           {"a new connection, and a message about a session set up on it",
            {{1, 3}, {4, 5}, {4.5, 6}},
            false},
           {"a connection from before the session, after a third process", {{1, 3}, {4, 5}, {8, 9}}, false},
           {"nothing", {}, false}}) {
    CAPTURE(row.name);
    platform::ProcessContinuity process;
    for (auto [since, now] : row.heard) process.heard(since, now);
    CHECK(process.includes(3) == row.includes);
  }
}

TEST_CASE("registry: a server keeps an address that another one has taken") {
  registry::ServerRegistry servers;
  auto entry = [](const char *id, unsigned short port, ServerStatus status = ServerStatus::active,
                  double started_at = 0) {
    registry::ListedServer out;
    out.id = id, out.status = status, out.started_at = started_at;
    out.address = {asio::ip::address_v4::loopback(), port};
    return out;
  };
  auto has_left = [&](const char *id) { return servers.at(servers.find(id)).status == ServerStatus::left; };
  auto changed = [&](const char *id) {
    return servers.address_changes() == std::vector<int>{servers.find(id)};
  };
  servers.begin_update();
  servers.apply(entry("a", 1)), servers.apply(entry("b", 2));
  CHECK(servers.address_changes().empty());
  servers.begin_update();
  servers.apply(entry("c", 1));
  CHECK((has_left("a") && !has_left("c") && changed("a")));
  CHECK((servers.is_displaced(servers.find("a")) && servers.list().servers.size() == 2));
  CHECK(servers.find_at(entry("", 1).address) == servers.find("c"));
  // A repeated entry is no news of the address.
  servers.begin_update();
  servers.apply(entry("a", 1));
  CHECK((has_left("a") && !has_left("c") && servers.address_changes().empty()));
  // Discovery tells that the earlier one has gone.
  servers.begin_update();
  servers.apply(entry("a", 1, ServerStatus::left));
  CHECK((has_left("a") && !servers.is_displaced(servers.find("a")) && servers.address_changes().empty()));
  // It comes back, as a new process.
  servers.begin_update();
  servers.apply(entry("a", 1));
  CHECK((!has_left("a") && has_left("c") && changed("c")));
  // The address is free again.
  servers.begin_update();
  servers.apply(entry("a", 1, ServerStatus::left));
  CHECK((!has_left("c") && changed("c")));
  // Two servers swap their addresses in one update.
  servers.begin_update();
  servers.apply(entry("b", 1));
  CHECK((has_left("c") && changed("c")));
  servers.apply(entry("c", 2));
  CHECK((!has_left("b") && !has_left("c") && servers.address_changes().empty()));
  // Of two that come at once, the one that started last has the address.
  servers.begin_update();
  servers.apply(entry("d", 3, ServerStatus::active, 20)),
      servers.apply(entry("e", 3, ServerStatus::active, 10));
  CHECK((!has_left("d") && has_left("e")));
  // A whole list without the one that has it.
  servers.begin_update(), servers.begin_full_list();
  servers.apply(entry("e", 3, ServerStatus::active, 10));
  servers.finish_full_list();
  CHECK((has_left("d") && !has_left("e") && changed("e")));
  servers.forget(servers.find("e"));
  CHECK(servers.find_at(entry("", 3).address) < 0);
}
