// Sessions that are handed over to a front end, at servers that may have started since they were set up.
#include "platform/platform_fixture.h"

#include <catch2/catch.hpp>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// The protocol's limit of 8 s, from 0.2 s after the hand-over, with its slack.
constexpr double kReleasedWithin = 8.25;

double unix_seconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// A front end that starts anew beside servers that started so many seconds before it; note_interval is the
// time between two periodic notes of a server.
struct HandoverScene : PlatformScene {
  RawClient &viewer;
  double handed_over_at = 0;

  static std::function<void(nlohmann::json &)> started_before(std::vector<double> ages,
                                                              double note_interval) {
    return [=](nlohmann::json &settings) {
      for (std::size_t s = 0; s < ages.size(); ++s)
        settings["known"]["cmds"][0]["nodes"]["targets"][s]["boot_ms"] =
            ages[s] > 0 ? static_cast<std::uint64_t>((unix_seconds() - ages[s]) * 1000) : 0;
      settings["settings"]["family_info"]["reports_every"] = note_interval;
    };
  }
  explicit HandoverScene(const std::vector<double> &server_ages, double note_interval = 4)
      : PlatformScene(static_cast<int>(server_ages.size()), "safe",
                      started_before(server_ages, note_interval)),
        viewer(connect_viewer()) {}

  std::string hand_over(int server = 1) {
    std::string tag = next_tag();
    handed_over_at = unix_seconds();
    viewer.send(start_line(tag, ";at:" + discovery::format_server_id(static_cast<std::uint32_t>(server)),
                           "7f3a9c21e0b4d655", "4294967"));
    return tag;
  }
  // Waits until the front end has a connection to each server.
  void wait_connected() {
    REQUIRE(until([&] {
      return std::ranges::all_of(servers, [](const auto &server) { return server->find_open() != nullptr; });
    }));
  }
  void send_note(const std::string &tag, int server, const char *outcome, const char *amount) {
    auto *connection = servers[static_cast<std::size_t>(server - 1)]->find_open();
    REQUIRE(connection);
    RawServer::send(*connection,
                    ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", outcome}, {"P-Amount", amount}}));
  }
  // The periodic note.
  void send_link_note(const std::string &tag, int server = 1) { send_note(tag, server, "link", "0.3"); }
  // The note that the protocol gives for a hand-over.
  void send_rung_note(const std::string &tag, int server = 1) { send_note(tag, server, "rung", "0"); }
  bool has_ended(const std::string &tag) const { return has_received(viewer, "FINISH", tag); }
  // Runs until the last hand-over must have been released, and a little longer.
  void run_until_due() { run(handed_over_at + kReleasedWithin - unix_seconds()); }
};

} // namespace

// Guards against sessions that were cut and are held for good, since newer ones at their server are named.
TEST_CASE("handover: a session older than its server is held beside newer ones", "[slow]") {
  // Seconds between the starts of the server and of the front end.
  double server_age = GENERATE(2.6, 25.0);
  HandoverScene scene({server_age});
  std::string older = scene.hand_over();
  scene.wait_connected();
  std::vector<std::string> newer;
  while (unix_seconds() < scene.handed_over_at + kReleasedWithin) {
    std::string tag = scene.next_tag();
    scene.viewer.send(PlatformScene::start_line(tag));
    scene.run(0.5);
    // A cold server takes few set-ups.
    if (!PlatformScene::has_received(scene.viewer, "STARTED", tag)) continue;
    newer.push_back(tag);
    scene.send_link_note(tag);
  }
  CHECK(newer.size() > 1);
  CHECK(scene.has_ended(older));
  for (const std::string &tag : newer) CHECK_FALSE(scene.has_ended(tag));
  CHECK(scene.front->servers().counters().handovers_ended == 1);
}

// Guards against ending sessions that stand: the server started before they were set up, and names one of
// them.
TEST_CASE("handover: sessions that stand at a server that started shortly before are ended", "[slow]") {
  // Also where the server had started after the moment that an immediate restart leaves for a set-up.
  double server_age = GENERATE(0.5, 8.0);
  HandoverScene scene({server_age});
  std::string named = scene.hand_over(), unnamed = scene.hand_over();
  scene.wait_connected();
  scene.run(4);
  scene.send_link_note(named);
  scene.run_until_due();
  CHECK_FALSE(scene.has_ended(named));
  CHECK_FALSE(scene.has_ended(unnamed));
  CHECK(scene.front->servers().counters().handovers_presumed == 1);
}

// Guards against taking one session that is named for all: some are older than their server and some younger.
TEST_CASE("handover: sessions older than their server are held beside younger ones handed over with them",
          "[slow]") {
  // The notes of the rung come on a connection that was open before the hand-over, or is opened after it.
  bool connected_before = GENERATE(true, false);
  HandoverScene scene({3});
  if (connected_before) {
    std::string first = scene.hand_over();
    scene.wait_connected();
    scene.send_rung_note(first);
    scene.run(0.8);
  }
  std::string older = scene.hand_over(), younger = scene.hand_over();
  scene.run(0.1);
  scene.wait_connected();
  scene.send_rung_note(younger);
  scene.send_link_note(younger);
  scene.run_until_due();
  CHECK(scene.has_ended(older));
  CHECK_FALSE(scene.has_ended(younger));
}

// Guards against ending sessions for want of a note that their server could not send, or that was lost.
TEST_CASE("handover: the missing note of the rung ends a session that could not be named", "[slow]") {
  bool connection_broke = GENERATE(false, true);
  HandoverScene scene({3});
  std::string early = scene.hand_over();
  scene.run(0.1);
  scene.wait_connected();
  scene.run(0.8);
  // This server sends the note only where it has a connection at the hand-over.
  std::string late = scene.hand_over();
  scene.run(0.1);
  scene.send_rung_note(late);
  if (connection_broke) {
    auto *broken = scene.servers[0]->find_open();
    broken->closed = true;
    broken->socket.close();
    scene.run(0.3);
    scene.wait_connected();
  }
  scene.run(3);
  scene.send_link_note(late);
  scene.run_until_due();
  CHECK_FALSE(scene.has_ended(early));
  CHECK_FALSE(scene.has_ended(late));
}

// Guards against a verdict that depends on when the list tells of the server's start.
TEST_CASE("handover: a session is held where the list tells its server's start after the hand-over",
          "[slow]") {
  bool is_named = GENERATE(false, true);
  HandoverScene scene({0});
  auto started_ms = static_cast<std::uint64_t>((unix_seconds() - 4) * 1000);
  std::string tag = scene.hand_over();
  scene.wait_connected();
  if (is_named) scene.send_link_note(tag);
  REQUIRE(scene.until([&] { return scene.channel.connections.size() == 1; }));
  scene.run(1.8);
  scene.send_on_channel(frame(2, 2, record(scene.record_of(1, *scene.servers[0], 0, started_ms))));
  scene.run_until_due();
  CHECK(scene.has_ended(tag) != is_named);
}

TEST_CASE("handover: many sessions at servers of one zone are held for good", "[slow]") {
  constexpr int kSessions = 400;
  HandoverScene scene({3, 3, 0});
  std::vector<std::string> cut, standing;
  for (int i = 0; i < kSessions; ++i) cut.push_back(scene.hand_over(1 + i % 2));
  for (int i = 0; i < 10; ++i) standing.push_back(scene.hand_over(3));
  REQUIRE(scene.until([&] { return scene.open_plays() == kSessions + 10u; }));
  scene.wait_connected();
  scene.run_until_due();
  CHECK(std::ranges::count_if(cut, [&](const auto &tag) { return scene.has_ended(tag); }) == kSessions);
  CHECK(std::ranges::none_of(standing, [&](const auto &tag) { return scene.has_ended(tag); }));
}

TEST_CASE("handover: the absence of a note is evidence only where the server could have sent it") {
  RungNoteEvidence notes;
  for (HandoverReach reach :
       {HandoverReach::unconnected, HandoverReach::just_connected, HandoverReach::connected})
    CHECK_FALSE(notes.is_expected(reach));
  notes.note_received(HandoverReach::connected);
  CHECK(notes.is_expected(HandoverReach::connected));
  CHECK_FALSE(notes.is_expected(HandoverReach::just_connected));
  CHECK_FALSE(notes.is_expected(HandoverReach::unconnected));
  notes.note_received(HandoverReach::unconnected);
  CHECK(notes.is_expected(HandoverReach::just_connected));
  CHECK(notes.is_expected(HandoverReach::unconnected));
  CHECK(judge_handover({}) == HandoverState::unconfirmed);
  CHECK(judge_handover({.is_sibling_held = true}) == HandoverState::presumed);
  CHECK(judge_handover({.is_sibling_held = true, .is_rung_note_missing = true}) ==
        HandoverState::unconfirmed);
}
