// Failures that need many servers: work that grows with the length of the list delays answers, so that
// requests are lost. The tests count the servers that are looked at; they do not measure time.
#include "platform/platform_fixture.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// Number of listed servers, in cells of four.
constexpr int kListedServers = 1600;
constexpr std::uint32_t kFirstListed = 100;

// A scene whose list holds many servers besides two that answer; no process listens at the others' address.
struct ManyServers : PlatformScene {
  static constexpr int kCells = kListedServers / 4;
  static void add_servers(nlohmann::json &config) {
    config["settings"]["family_info"]["cells"] = kCells;
    config["settings"]["family_info"]["groups"] = kListedServers / 8;
    nlohmann::json &targets = config["known"]["cmds"][0]["nodes"]["targets"];
    for (int s = 0; s < kListedServers; ++s)
      targets.push_back({{"uid", discovery::format_server_id(kFirstListed + static_cast<std::uint32_t>(s))},
                         {"endpoint", "127.0.0.1:9"},
                         {"az", "hall-a"},
                         {"model", "k"},
                         {"pod_group", 1 + s % (kCells - 1)},
                         {"state", "active"},
                         {"capacity_hint", 1},
                         {"boot_ms", 0}});
  }
  ManyServers() : PlatformScene(2, "safe", add_servers) {
    until([&] { return !channel.connections.empty(); });
  }
  std::string status_change_frame(std::uint64_t number, unsigned state) {
    ServerRecord changed{kFirstListed + 7, 9, state, 0, 0, 8, 0};
    return frame(number, 2, record(changed));
  }
};

} // namespace

TEST_CASE("many servers: a change of one server costs work for the whole list", "[many]") {
  ManyServers scene;
  REQUIRE(scene.until([&] { return scene.front->core().has_list(); }));
  auto before = scene.front->server_scans();
  scene.send_on_channel(scene.status_change_frame(2, 1));
  REQUIRE(scene.until([&] { return scene.front->core().list_version() == 2; }));
  auto after = scene.front->server_scans();
  CHECK(after.for_lists - before.for_lists < 20);
  CHECK(after.idle - before.idle < 20);
}

TEST_CASE("many servers: a placement looks at servers that do not hold the title", "[many]") {
  ManyServers scene;
  RawClient &viewer = scene.connect_viewer();
  // Establishes the connections.
  scene.start_play(viewer);
  auto before = scene.front->server_scans();
  std::string tag = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag));
  REQUIRE(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", tag); }));
  auto after = scene.front->server_scans();
  CHECK(after.for_placements - before.for_placements < 20);
}

TEST_CASE("many servers: an idle front end is busy with servers that it has nothing to do with", "[many]") {
  ManyServers scene;
  scene.start_play(scene.connect_viewer());
  scene.run(0.5);
  auto before = scene.front->server_scans();
  scene.run(1.2);
  auto after = scene.front->server_scans();
  CHECK(after.idle - before.idle < 200);
}

TEST_CASE(
    "many servers: more of them hold sessions than connections may be open, so set-ups or ends are lost",
    "[many]") {
  constexpr int kServers = 14;
  constexpr unsigned kSockets = 32;
  REQUIRE(platform::compute_resource_limits(kSockets, 48).server_descriptors < kServers);
  PlatformScene scene(kServers, "safe", [&](nlohmann::json &config) {
    config["limits"]["sockets"] = kSockets;
    config["settings"]["family_info"]["cells"] = kServers;
    int cell = 0;
    for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"]) target["pod_group"] = cell++;
  });
  RawClient &viewer = scene.connect_viewer();
  std::vector<std::string> tags;
  for (int s = 0; s < kServers; ++s) {
    tags.push_back(scene.next_tag());
    std::string line = PlatformScene::start_line(tags.back());
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(s));
    viewer.send(line);
    CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", tags.back()); }, 1.5));
    scene.run(0.3);
  }
  CHECK(scene.front->servers().connections() <=
        platform::compute_resource_limits(kSockets, 48).server_descriptors);
  // Each server sends its release on an open connection, or on the next one that is established.
  std::vector<bool> release_sent(kServers, false);
  auto all_released = [&] {
    for (std::size_t s = 0; s < kServers; ++s) {
      auto &connections = scene.servers[s]->server.connections;
      if (release_sent[s] || connections.empty() || connections.back()->closed) continue;
      release_sent[s] = true;
      RawServer::send(*connections.back(),
                      ScriptedServer::request(tags[s], "TEARDOWN", {{"Reason", "cause=16"}}));
    }
    return std::ranges::all_of(
        tags, [&](const auto &tag) { return PlatformScene::has_received(viewer, "FINISH", tag); });
  };
  CHECK(scene.until(all_released, 8));
}

TEST_CASE("many servers: a removed server's session ends when its connection is closed for another server",
          "[many]") {
  constexpr int kServers = 14;
  constexpr unsigned kSockets = 32;
  PlatformScene scene(kServers, "safe", [&](nlohmann::json &config) {
    config["limits"]["sockets"] = kSockets;
    config["settings"]["family_info"]["cells"] = kServers;
    int cell = 0;
    for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"]) target["pod_group"] = cell++;
  });
  RawClient &viewer = scene.connect_viewer();
  auto start_at_cell = [&](int cell) {
    std::string tag = scene.next_tag(), line = PlatformScene::start_line(tag);
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(cell));
    viewer.send(line);
    CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", tag); }, 1.5));
    return tag;
  };
  std::string first = start_at_cell(0);
  REQUIRE(scene.until([&] { return !scene.channel.connections.empty(); }));
  ServerRecord left = PlatformScene::record_of(1, *scene.servers[0], 2);
  scene.send_on_channel(frame(2, 2, record(left)));
  REQUIRE(scene.until([&] { return scene.front->core().list_version() == 2; }));
  for (int s = 1; s < kServers; ++s) {
    scene.run(0.35);
    start_at_cell(s);
    RawServer::send(*scene.servers[0]->server.connections[0],
                    ScriptedServer::request(first, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
  }
  // The play continues on its connection.
  CHECK_FALSE(PlatformScene::has_received(viewer, "FINISH", first));
}

namespace {

// A front end whose descriptors are all in use by connections to servers, one to each, with one play on each.
// The next play needs the descriptor of the oldest connection, which goes to the first server.
struct ScarceScene : PlatformScene {
  static constexpr int kServers = 12;
  static constexpr unsigned kSockets = 32;
  RawClient &viewer;
  std::size_t max_connections = platform::compute_resource_limits(kSockets, 48).server_descriptors;
  // The play on the first server.
  std::string first;

  ScarceScene()
      : PlatformScene(kServers, "safe",
                      [](nlohmann::json &settings) {
                        settings["limits"]["sockets"] = kSockets;
                        settings["settings"]["family_info"]["cells"] = kServers;
                        int cell = 0;
                        for (auto &target : settings["known"]["cmds"][0]["nodes"]["targets"])
                          target["pod_group"] = cell++;
                      }),
        viewer(connect_viewer()) {
    for (std::size_t s = 0; s < max_connections; ++s) {
      std::string tag = start_at_cell(s);
      if (s == 0) first = tag;
      if (!until([&] { return has_received(viewer, "STARTED", tag); }, 1.5))
        throw std::runtime_error("the play does not start");
    }
    run(0.4);
  }
  std::string start_at_cell(std::size_t cell) {
    std::string tag = next_tag(), line = start_line(tag);
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(cell));
    viewer.send(line);
    return tag;
  }
  std::string start_next() { return start_at_cell(max_connections); }
  void release_first() {
    RawServer::send(*servers[0]->server.connections[0],
                    ScriptedServer::request(first, "TEARDOWN", {{"Reason", "cause=16"}}));
  }
  bool has_started(const std::string &tag) {
    return until([&] { return has_received(viewer, "STARTED", tag); }, 1.5);
  }
  // The protocol's limit between a server's release and the viewer's line.
  bool is_first_ended() {
    return until([&] { return has_received(viewer, "FINISH", first); }, 1);
  }
};

} // namespace

TEST_CASE("many servers: a connection goes to make room for another while a server's release is unread on it",
          "[many]") {
  ScarceScene scene;
  std::string next = scene.start_next();
  scene.release_first();
  CHECK(scene.has_started(next));
  CHECK(scene.is_first_ended());
}

TEST_CASE("many servers: a connection that makes room goes while a server's release is on its way",
          "[many]") {
  ScarceScene scene;
  std::string next = scene.start_next();
  // The server sends its release before it knows that the connection is closed, and closes it then.
  auto &connection = *scene.servers[0]->server.connections[0];
  REQUIRE(scene.until([&] { return connection.closed; }, 1.5));
  scene.release_first();
  connection.socket.close();
  CHECK(scene.has_started(next));
  CHECK(scene.is_first_ended());
}
