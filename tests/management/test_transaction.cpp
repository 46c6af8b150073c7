#include "management/transaction.h"

#include <catch2/catch.hpp>

#include <random>
#include <stdexcept>

using namespace snowshore::management;

namespace {

struct Killed : std::runtime_error {
  Killed() : std::runtime_error("killed") {}
};

// What is durable outlives the process; the process dies at the step that the test names.
struct World final : Journal, ConfigTarget {
  std::vector<Revision> disk;
  std::string runs;
  int steps = 0, die_at = -1;
  bool will_not_apply = false;
  void step() {
    if (steps++ == die_at) throw Killed();
  }
  std::vector<Revision> read_revisions() const override { return disk; }
  void append(const Revision &revision) override {
    step(); // before the durable write
    disk.push_back(revision);
    step(); // after it, before it is known
  }
  std::optional<Rejection> check(const std::string &document) override {
    return document.starts_with("bad") ? std::optional<Rejection>({ChangeError::invalid, "bad document"})
                                       : std::nullopt;
  }
  std::optional<std::string> apply(const std::string &document) override {
    step(); // before applying
    if (will_not_apply && document.starts_with("port")) return "the port is taken";
    runs = document;
    step(); // after it, before the answer
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("a change killed at each step leaves the old configuration or the new one, whole; an answered one "
          "stays") {
  for (bool confirmed : {false, true}) {
    for (bool refused : {false, true}) {
      for (int die_at = 0; die_at < 8; ++die_at) {
        CAPTURE(confirmed, refused, die_at);
        World world;
        Transactions before(world, world);
        REQUIRE(before.recover("old", 1).error == ChangeError::none);
        world.steps = 0, world.die_at = die_at, world.will_not_apply = refused;
        bool answered = false;
        ChangeResult answer;
        try {
          answer = before.set({refused ? "port new" : "new", "ana", "test", {}, confirmed ? 10.0 : 0.0}, 2);
          answered = true;
        } catch (const Killed &) {
        }
        world.die_at = -1, world.will_not_apply = false;
        world.runs.clear();
        Transactions after(world, world);
        REQUIRE(after.recover("never", 3).error == ChangeError::none);
        std::string wanted = refused ? "port new" : "new";
        CHECK((world.runs == "old" || world.runs == wanted));
        CHECK(world.runs == after.current().document);
        if (answered && answer.error == ChangeError::none) CHECK(world.runs == wanted);
        if (answered && answer.error != ChangeError::none) CHECK(world.runs == "old");
        // Not confirmed in time, it is undone, also across the restart.
        if (confirmed && world.runs == wanted) {
          CHECK(after.next_due() == 12.0);
          CHECK(after.roll_back_expired(12).error == ChangeError::none);
          CHECK(world.runs == "old");
          Transactions again(world, world);
          again.recover("never", 20);
          CHECK(world.runs == "old");
        }
      }
    }
  }
}

TEST_CASE("what is refused leaves the history byte for byte; each refusal says why") {
  World world;
  Transactions t(world, world);
  t.recover("a", 1);
  t.set({"b", "ana", "", {}, 0}, 2);
  auto kept = world.disk.size();
  CHECK(t.set({"bad", "ana", "", {}, 0}, 3).error == ChangeError::invalid);
  CHECK(t.set({"c", "ana", "", 1, 0}, 3).error == ChangeError::stale_revision);
  CHECK(t.confirm(2, "ana", 3).error == ChangeError::unknown_revision);
  CHECK(t.roll_back(9, "ana", 3).error == ChangeError::unknown_revision);
  CHECK(world.disk.size() == kept);
  CHECK(world.runs == "b");
  REQUIRE(t.set({"c", "ana", "", 2, 5}, 4).error == ChangeError::none);
  CHECK(t.set({"d", "eva", "", {}, 0}, 5).error == ChangeError::unconfirmed_change);
  CHECK(t.confirm(3, "eva", 6).error == ChangeError::none);
  CHECK(t.roll_back_expired(100).error == ChangeError::none);
  CHECK(world.runs == "c");
  CHECK(t.roll_back(1, "eva", 7).revision == 4);
  CHECK(world.runs == "a");
}

TEST_CASE(
    "an undoing that the front refuses is tried again later, and the change does not become confirmed") {
  World world;
  Transactions t(world, world);
  t.recover("port old", 1);
  REQUIRE(t.set({"new", "ana", "", {}, 5}, 2).error == ChangeError::none);
  world.will_not_apply = true;
  CHECK(t.roll_back_expired(7).error == ChangeError::apply_failed);
  CHECK(world.runs == "new");
  CHECK(t.state() == Transactions::State::awaiting_confirmation);
  CHECK(t.next_due().value_or(0) > 7);
  world.will_not_apply = false;
  CHECK(t.roll_back_expired(*t.next_due()).error == ChangeError::none);
  CHECK(world.runs == "port old");
  CHECK(t.state() == Transactions::State::confirmed);
}

TEST_CASE("a thousand changes, valid and not, killed in between: what runs is what was last accepted") {
  World world;
  std::minstd_rand chance(7);
  std::string accepted = "first", in_doubt;
  auto t = std::make_unique<Transactions>(world, world);
  t->recover(accepted, 0);
  int kills = 0;
  for (int i = 1; i <= 1000; ++i) {
    std::string document = (chance() / 7 % 5 == 0 ? "bad " : "v ") + std::to_string(i);
    world.steps = 0, world.die_at = chance() / 7 % 20 == 0 ? static_cast<int>(chance() / 7 % 4) : -1;
    try {
      if (t->set({document, "x", "", {}, 0}, i).error == ChangeError::none) accepted = document;
    } catch (const Killed &) {
      ++kills;
      world.die_at = -1;
      t = std::make_unique<Transactions>(world, world);
      t->recover("never", i);
      CHECK((t->current().document == accepted || t->current().document == document));
      accepted = t->current().document;
    }
    REQUIRE(world.runs == accepted);
  }
  CHECK(kills > 20);
}
