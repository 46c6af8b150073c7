#include "management/transaction.h"

#include <catch2/catch.hpp>

#include <random>
#include <stdexcept>

using namespace snowshore::management;

namespace {

struct Killed : std::runtime_error {
  Killed() : std::runtime_error("killed") {}
};

// A journal and a target whose durable part survives a crash. The crash is an exception at the step kill_at.
struct CrashableSystem final : Journal, ConfigTarget {
  std::vector<Revision> journal;
  std::string applied;
  int steps = 0, kill_at = -1;
  bool fail_apply = false;
  // Counts the points at which the process can be killed.
  void step() {
    if (steps++ == kill_at) throw Killed();
  }
  std::vector<Revision> read_revisions() const override { return journal; }
  void append(const Revision &revision) override {
    step(); // before the write
    journal.push_back(revision);
    step(); // after the write, before its caller knows of it
  }
  std::optional<Rejection> check(const std::string &document) override {
    return document.starts_with("bad") ? std::optional<Rejection>({ChangeError::invalid, "bad document"})
                                       : std::nullopt;
  }
  std::optional<std::string> apply(const std::string &document) override {
    step(); // before applying
    if (fail_apply && document.starts_with("port")) return "the port is taken";
    applied = document;
    step(); // after applying, before the result
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("a change killed at any step leaves the old or the new configuration; an answered change is kept") {
  for (bool needs_confirmation : {false, true}) {
    for (bool apply_fails : {false, true}) {
      for (int kill_at = 0; kill_at < 8; ++kill_at) {
        CAPTURE(needs_confirmation, apply_fails, kill_at);
        CrashableSystem system;
        Transactions first(system, system);
        REQUIRE(first.recover("old", 1).error == ChangeError::none);
        system.steps = 0, system.kill_at = kill_at, system.fail_apply = apply_fails;
        bool answered = false;
        ChangeResult answer;
        try {
          answer = first.set(
              {apply_fails ? "port new" : "new", "ana", "test", {}, needs_confirmation ? 10.0 : 0.0}, 2);
          answered = true;
        } catch (const Killed &) {
        }
        system.kill_at = -1, system.fail_apply = false;
        system.applied.clear();
        Transactions restarted(system, system);
        REQUIRE(restarted.recover("never", 3).error == ChangeError::none);
        std::string expected = apply_fails ? "port new" : "new";
        CHECK((system.applied == "old" || system.applied == expected));
        CHECK(system.applied == restarted.current().document);
        if (answered && answer.error == ChangeError::none) CHECK(system.applied == expected);
        if (answered && answer.error != ChangeError::none) CHECK(system.applied == "old");
        // An unconfirmed change is rolled back at its deadline, also after a restart.
        if (needs_confirmation && system.applied == expected) {
          CHECK(restarted.next_due() == 12.0);
          CHECK(restarted.roll_back_expired(12).error == ChangeError::none);
          CHECK(system.applied == "old");
          Transactions again(system, system);
          again.recover("never", 20);
          CHECK(system.applied == "old");
        }
      }
    }
  }
}

TEST_CASE("a rejected change leaves the history and the configuration unchanged and has its own error") {
  CrashableSystem system;
  Transactions transactions(system, system);
  transactions.recover("a", 1);
  transactions.set({"b", "ana", "", {}, 0}, 2);
  auto journal_size = system.journal.size();
  CHECK(transactions.set({"bad", "ana", "", {}, 0}, 3).error == ChangeError::invalid);
  CHECK(transactions.set({"c", "ana", "", 1, 0}, 3).error == ChangeError::stale_revision);
  CHECK(transactions.confirm(2, "ana", 3).error == ChangeError::unknown_revision);
  CHECK(transactions.roll_back(9, "ana", 3).error == ChangeError::unknown_revision);
  CHECK(system.journal.size() == journal_size);
  CHECK(system.applied == "b");
  REQUIRE(transactions.set({"c", "ana", "", 2, 5}, 4).error == ChangeError::none);
  CHECK(transactions.set({"d", "eva", "", {}, 0}, 5).error == ChangeError::unconfirmed_change);
  CHECK(transactions.confirm(3, "eva", 6).error == ChangeError::none);
  CHECK(transactions.roll_back_expired(100).error == ChangeError::none);
  CHECK(system.applied == "c");
  CHECK(transactions.roll_back(1, "eva", 7).revision == 4);
  CHECK(system.applied == "a");
}

TEST_CASE("a rollback that the front rejects is tried again, and the change does not become confirmed") {
  CrashableSystem system;
  Transactions transactions(system, system);
  transactions.recover("port old", 1);
  REQUIRE(transactions.set({"new", "ana", "", {}, 5}, 2).error == ChangeError::none);
  system.fail_apply = true;
  CHECK(transactions.roll_back_expired(7).error == ChangeError::apply_failed);
  CHECK(system.applied == "new");
  CHECK(transactions.state() == Transactions::State::awaiting_confirmation);
  CHECK(transactions.next_due().value_or(0) > 7);
  system.fail_apply = false;
  CHECK(transactions.roll_back_expired(*transactions.next_due()).error == ChangeError::none);
  CHECK(system.applied == "port old");
  CHECK(transactions.state() == Transactions::State::confirmed);
}

TEST_CASE("over 1000 valid and invalid changes with kills, the last accepted configuration is in force") {
  CrashableSystem system;
  std::minstd_rand random(7);
  std::string accepted = "first", in_doubt;
  auto transactions = std::make_unique<Transactions>(system, system);
  transactions->recover(accepted, 0);
  int kills = 0;
  for (int i = 1; i <= 1000; ++i) {
    std::string document = (random() / 7 % 5 == 0 ? "bad " : "v ") + std::to_string(i);
    system.steps = 0, system.kill_at = random() / 7 % 20 == 0 ? static_cast<int>(random() / 7 % 4) : -1;
    try {
      if (transactions->set({document, "x", "", {}, 0}, i).error == ChangeError::none) accepted = document;
    } catch (const Killed &) {
      ++kills;
      system.kill_at = -1;
      transactions = std::make_unique<Transactions>(system, system);
      transactions->recover("never", i);
      CHECK((transactions->current().document == accepted || transactions->current().document == document));
      accepted = transactions->current().document;
    }
    REQUIRE(system.applied == accepted);
  }
  CHECK(kills > 20);
}
