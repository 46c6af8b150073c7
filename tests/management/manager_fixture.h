// A configuration manager with a real store and a fake front, for tests.
#pragma once
#include "management/manager.h"
#include "model/model_fixture.h"
#include "temporary_folder.h"

namespace snowshore::testing {

// A front that records what it is given. Management's threads call it; the mutex guards the members that they
// and the test use.
struct FakeFront final : management::FrontControl {
  std::mutex mutex;
  // If not empty, the reason with which every check or every change fails.
  std::string check_error, apply_error;
  std::function<void()> before_check, before_change, after_change;
  std::size_t open_plays = 0; // the limit in the record that is applied
  int changes = 0, drained = 0;
  config::FrontSnapshot current_state;
  std::optional<std::string> check_config(const config::FrontConfig &, bool) override {
    if (before_check) before_check();
    std::lock_guard lock(mutex);
    return check_error.empty() ? std::nullopt : std::optional(check_error);
  }
  std::optional<std::string> apply_config(const config::FrontConfig &next, bool with_drain) override {
    if (before_change) before_change();
    {
      std::lock_guard lock(mutex);
      if (!apply_error.empty()) return apply_error;
      open_plays = next.limits.max_open_plays;
      ++changes;
      drained += with_drain;
    }
    if (after_change) after_change();
    return std::nullopt;
  }
  config::FrontSnapshot state() override {
    std::lock_guard lock(mutex);
    return current_state;
  }
};

// The parts as the program assembles them.
struct Rig {
  FakeFront front;
  store::Store store;
  management::ConfigManager manager;
  explicit Rig(const std::string &folder, const std::string &more = "", std::size_t history = 1000)
      : store(folder, history), manager(test_model(), store, history, "test") {
    auto record = manager.start(front_record(more));
    front.open_plays = record.limits.max_open_plays;
    front.current_state.service = "serving";
    front.current_state.boot = "b";
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
