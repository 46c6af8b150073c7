// Failures that need thousands of servers: work that grows with the list holds up answers, and requests are
// lost. Work is counted (servers looked at), not timed.
#include "platform/scene.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

constexpr int kMany = 1600; // listed servers, in cells of four
constexpr std::uint32_t kFirstListed = 100;

// A scene whose list holds many servers besides two that answer; nobody listens at the others.
struct ManyServers : PlatformScene {
  static constexpr int kCells = kMany / 4;
  static void list_many(nlohmann::json &config) {
    config["settings"]["family_info"]["cells"] = kCells;
    config["settings"]["family_info"]["groups"] = kMany / 8;
    nlohmann::json &targets = config["known"]["cmds"][0]["nodes"]["targets"];
    for (int s = 0; s < kMany; ++s)
      targets.push_back({{"uid", feed::server_name(kFirstListed + static_cast<std::uint32_t>(s))},
                         {"endpoint", "127.0.0.1:9"},
                         {"az", "hall-a"},
                         {"model", "k"},
                         {"pod_group", 1 + s % (kCells - 1)},
                         {"state", "active"},
                         {"capacity_hint", 1},
                         {"boot_ms", 0}});
  }
  ManyServers() : PlatformScene(2, "safe", list_many) {
    until([&] { return !channel.connections.empty(); });
  }
  std::string change_of_one(std::uint64_t number, unsigned state) {
    WrittenServer one{kFirstListed + 7, 9, state, 0, 0, 8, 0};
    return frame(number, 2, record(one));
  }
};

} // namespace

TEST_CASE("many servers: a change of one server costs work for the whole list", "[many]") {
  ManyServers scene;
  REQUIRE(scene.until([&] { return scene.front->core().has_list(); }));
  auto before = scene.front->server_scans();
  scene.tell(scene.change_of_one(2, 1));
  REQUIRE(scene.until([&] { return scene.front->core().list_version() == 2; }));
  auto after = scene.front->server_scans();
  CHECK(after.for_lists - before.for_lists < 20);
  CHECK(after.idle - before.idle < 20);
}

TEST_CASE("many servers: a placement looks at servers that do not hold the title", "[many]") {
  ManyServers scene;
  RawClient &peer = scene.viewer();
  scene.standing(peer); // connections are up
  auto before = scene.front->server_scans();
  std::string tag = scene.next_tag();
  peer.send(PlatformScene::start(tag));
  REQUIRE(scene.until([&] { return PlatformScene::said(peer, "STARTED", tag); }));
  auto after = scene.front->server_scans();
  CHECK(after.for_placements - before.for_placements < 20);
}

TEST_CASE("many servers: an idle front end is busy with servers that it has nothing to do with", "[many]") {
  ManyServers scene;
  scene.standing(scene.viewer());
  scene.run(0.5);
  auto before = scene.front->server_scans();
  scene.run(1.2);
  auto after = scene.front->server_scans();
  CHECK(after.idle - before.idle < 200);
}

TEST_CASE(
    "many servers: more of them hold sessions than connections may be open, and set-ups or ends are lost",
    "[many]") {
  constexpr int kHolding = 14;
  constexpr unsigned kSockets = 32;
  REQUIRE(platform::compute_resource_limits(kSockets, 48).server_descriptors < kHolding);
  PlatformScene scene(kHolding, "safe", [&](nlohmann::json &config) {
    config["limits"]["sockets"] = kSockets;
    config["settings"]["family_info"]["cells"] = kHolding;
    int cell = 0;
    for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"]) target["pod_group"] = cell++;
  });
  RawClient &peer = scene.viewer();
  std::vector<std::string> tags;
  for (int s = 0; s < kHolding; ++s) {
    tags.push_back(scene.next_tag());
    std::string line = PlatformScene::start(tags.back());
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(s));
    peer.send(line);
    CHECK(scene.until([&] { return PlatformScene::said(peer, "STARTED", tags.back()); }, 1.5));
    scene.run(0.3);
  }
  CHECK(scene.front->servers().connections() <=
        platform::compute_resource_limits(kSockets, 48).server_descriptors);
  // Each server says its release on a connection that is open, or on the next that opens.
  std::vector<bool> told(kHolding, false);
  auto all_told = [&] {
    for (std::size_t s = 0; s < kHolding; ++s) {
      auto &links = scene.servers[s]->server.connections;
      if (told[s] || links.empty() || links.back()->closed) continue;
      told[s] = true;
      RawServer::send(*links.back(), StandIn::request(tags[s], "TEARDOWN", {{"Reason", "cause=16"}}));
    }
    return std::ranges::all_of(tags,
                               [&](const auto &tag) { return PlatformScene::said(peer, "FINISH", tag); });
  };
  CHECK(scene.until(all_told, 8));
}

TEST_CASE("many servers: a removed one's session ends when its connection makes room for another", "[many]") {
  constexpr int kHolding = 14;
  constexpr unsigned kSockets = 32;
  PlatformScene scene(kHolding, "safe", [&](nlohmann::json &config) {
    config["limits"]["sockets"] = kSockets;
    config["settings"]["family_info"]["cells"] = kHolding;
    int cell = 0;
    for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"]) target["pod_group"] = cell++;
  });
  RawClient &peer = scene.viewer();
  auto ask = [&](int home) {
    std::string tag = scene.next_tag(), line = PlatformScene::start(tag);
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(home));
    peer.send(line);
    CHECK(scene.until([&] { return PlatformScene::said(peer, "STARTED", tag); }, 1.5));
    return tag;
  };
  std::string first = ask(0);
  REQUIRE(scene.until([&] { return !scene.channel.connections.empty(); }));
  WrittenServer gone = PlatformScene::written(1, *scene.servers[0], 2);
  scene.tell(frame(2, 2, record(gone)));
  REQUIRE(scene.until([&] { return scene.front->core().list_version() == 2; }));
  for (int s = 1; s < kHolding; ++s) {
    scene.run(0.35);
    ask(s);
    RawServer::send(*scene.servers[0]->server.connections[0],
                    StandIn::request(first, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
  }
  CHECK_FALSE(PlatformScene::said(peer, "FINISH", first)); // it still plays, on the connection it has
}

TEST_CASE("many servers: a connection goes to make room with a server's release unread on it", "[many]") {
  constexpr int kHolding = 12;
  constexpr unsigned kSockets = 32;
  PlatformScene scene(kHolding, "safe", [&](nlohmann::json &config) {
    config["limits"]["sockets"] = kSockets;
    config["settings"]["family_info"]["cells"] = kHolding;
    int cell = 0;
    for (auto &target : config["known"]["cmds"][0]["nodes"]["targets"]) target["pod_group"] = cell++;
  });
  std::size_t room = platform::compute_resource_limits(kSockets, 48).server_descriptors;
  RawClient &peer = scene.viewer();
  auto ask = [&](std::size_t home) {
    std::string tag = scene.next_tag(), line = PlatformScene::start(tag);
    line.replace(line.find("home:0"), 6, "home:" + std::to_string(home));
    peer.send(line);
    return tag;
  };
  std::string first;
  for (std::size_t s = 0; s < room; ++s) {
    std::string tag = ask(s);
    if (s == 0) first = tag;
    REQUIRE(scene.until([&] { return PlatformScene::said(peer, "STARTED", tag); }, 1.5));
  }
  scene.run(0.4);
  std::string next =
      ask(room); // wants the place of the oldest connection, on which a release has just arrived
  RawServer::send(*scene.servers[0]->server.connections[0],
                  StandIn::request(first, "TEARDOWN", {{"Reason", "cause=16"}}));
  CHECK(scene.until([&] { return PlatformScene::said(peer, "STARTED", next); }, 1.5));
  CHECK(scene.until([&] { return PlatformScene::said(peer, "FINISH", first); }, 1));
}
