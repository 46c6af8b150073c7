// A process that does not run for a while, and finds all that came meanwhile. The scene's event loop stands
// still while the test's thread sleeps.
#include "decision/retry_budget.h"
#include "platform/platform_fixture.h"
#include "telemetry/loop_pauses.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

// The protocol's limit for an end that could not be told, with its slack.
constexpr double kReleasedWithin = 8.05;

void stand_still(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

} // namespace

TEST_CASE("pause: a set-up goes to a server whose drain lies unread") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  REQUIRE(scene.until([&] { return scene.channel.connections.size() == 1; }));
  std::string served = scene.start_play(viewer).second, tag = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag, "", "7f3a9c21e0b4d655", "1200"));
  stand_still(1.1);
  scene.send_on_channel(frame(2, 2, record(scene.record_of(1, *scene.servers[0], 1))));
  scene.until([&] { return PlatformScene::has_received(viewer, "FINISH", tag); }, 1);
  CHECK(PlatformScene::has_received(viewer, "FINISH", tag));
  CHECK(scene.set_up_count() == 1);
}

TEST_CASE("pause: a request is placed although its client's time was over before it was read") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  scene.start_play(viewer);
  std::string tag = scene.next_tag(), in_time = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag, "", "7f3a9c21e0b4d655", "1000"));
  stand_still(1.1);
  CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "FINISH", tag); }, 1));
  CHECK(viewer.received.find(R"("rc":34)") != std::string::npos);
  CHECK(scene.set_up_count() == 1);
  viewer.send(PlatformScene::start_line(in_time, "", "7f3a9c21e0b4d655", "1000"));
  CHECK(scene.until([&] { return PlatformScene::has_received(viewer, "STARTED", in_time); }, 1));
}

TEST_CASE("pause: a request is placed although its client's give-up lies unread") {
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer(), &other = scene.connect_viewer();
  scene.start_play(viewer);
  scene.start_play(other);
  std::string tag = scene.next_tag();
  viewer.send(PlatformScene::start_line(tag, "", "7f3a9c21e0b4d655", "1200"));
  stand_still(0.3);
  viewer.send(PlatformScene::finish_line(tag));
  stand_still(0.8);
  scene.run(0.3);
  CHECK(scene.set_up_count() == 2);
  CHECK(scene.open_plays() == 2);
}

// A pause is neither a sign of life nor of death.
TEST_CASE("pause: sessions of a silent server are held while the front end stands still now and then",
          "[slow]") {
  bool is_silent = GENERATE(true, false);
  PlatformScene scene(1);
  RawClient &viewer = scene.connect_viewer();
  std::string tag = scene.start_play(viewer).second;
  auto note = [&] {
    if (auto *connection = scene.servers[0]->find_open())
      RawServer::send(*connection,
                      ScriptedServer::request(tag, "ANNOUNCE", {{"X-Outcome", "link"}, {"P-Amount", "0.3"}}));
  };
  std::optional<FullBacklog> unreachable;
  if (is_silent) unreachable.emplace(scene.io, scene.servers[0]->server);
  auto ended_at = std::chrono::steady_clock::now();
  auto silent_for = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - ended_at).count();
  };
  while (silent_for() < kReleasedWithin && !PlatformScene::has_received(viewer, "FINISH", tag)) {
    scene.run(std::min(2.1, kReleasedWithin - silent_for()));
    if (!is_silent) note();
    if (silent_for() + 1.3 < kReleasedWithin) stand_still(1.3);
  }
  CHECK(PlatformScene::has_received(viewer, "FINISH", tag) == is_silent);
}

TEST_CASE("pause: a request counts for the retry budget from when it was read") {
  RetryBudget budget;
  budget.set_settings({.window = 5, .free_retries = 0, .retry_share = 1});
  budget.request_accepted(8);
  budget.request_accepted(10);
  CHECK(budget.allows(12.9));
  budget.retry_made(12.9);
  CHECK(budget.allows(12.9));
  // The request that was taken at 8 is out of the window.
  CHECK_FALSE(budget.allows(13.1));
}

TEST_CASE("pause: a pause is noticed late, or an ordinary delay is taken for one") {
  telemetry::LoopPauses pauses;
  pauses.beat(10);
  CHECK_FALSE(pauses.is_catching_up(10.9));
  pauses.beat(10.9);
  // A handler that asks before the next beat.
  CHECK(pauses.is_catching_up(12.8));
  CHECK(pauses.length() == Approx(1.9));
  pauses.beat(12.81);
  CHECK(pauses.is_catching_up(12.84));
  CHECK_FALSE(pauses.is_catching_up(12.86));
  // Another pause follows.
  pauses.beat(15);
  CHECK(pauses.is_catching_up(15.01));
}
