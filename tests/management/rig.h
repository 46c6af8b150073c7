// A manager over a real store in a folder of its own, before a front of the test's making.
#pragma once
#include "folder.h"
#include "management/manager.h"
#include "model/front_text.h"

namespace snowshore::testing {

struct FakeFront final : management::FrontControl { // called by management's threads
  std::mutex mutex;
  std::string refuses, fails; // why, for all that comes
  std::function<void()> before_check, before_change, after_change;
  std::size_t open_plays = 0; // of the record it runs with
  int changes = 0, drained = 0;
  site::FrontSnapshot now;
  std::optional<std::string> check_config(const site::FrontConfig &, bool) override {
    if (before_check) before_check();
    std::lock_guard lock(mutex);
    return refuses.empty() ? std::nullopt : std::optional(refuses);
  }
  std::optional<std::string> apply_config(const site::FrontConfig &next, bool with_drain) override {
    if (before_change) before_change();
    {
      std::lock_guard lock(mutex);
      if (!fails.empty()) return fails;
      open_plays = next.limits.max_open_plays;
      ++changes, drained += with_drain;
    }
    if (after_change) after_change();
    return std::nullopt;
  }
  site::FrontSnapshot state() override {
    std::lock_guard lock(mutex);
    return now;
  }
};

struct Rig { // as the program puts it together
  FakeFront front;
  store::Store store;
  management::ConfigManager manager;
  explicit Rig(const std::string &folder, const std::string &more = "", std::size_t history = 1000)
      : store(folder, history), manager(test_model(), store, history, "test") {
    auto record = manager.start(front_record(more));
    front.open_plays = record.limits.max_open_plays;
    front.now.service = "serving", front.now.boot = "b";
    manager.attach(&front);
  }
  management::ChangeResult set(const char *path, model::Json value, double confirm_within = 0) {
    return manager.set({{{model::Edit::Kind::update, model::parse_path(path), std::move(value)}},
                        "ana",
                        "test",
                        {},
                        confirm_within,
                        "c"});
  }
  std::string running_document() const { return manager.running_config()->document; }
};

} // namespace snowshore::testing
