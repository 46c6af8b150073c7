#include "management/follower.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace snowshore;
using management::Subscription;
using management::SubscriptionTracker;
using model::parse_path;
using model::PathValue;

namespace {

struct World { // values by path
  std::map<std::string, int> values;
  SubscriptionTracker::Values all() const {
    return [this](const model::Path &pattern) {
      std::vector<PathValue> out;
      for (const auto &[path, value] : values) {
        if (model::covers(pattern, parse_path(path))) out.push_back({parse_path(path), value});
      }
      return out;
    };
  }
};

std::string told(const SubscriptionTracker::Batch &batch) {
  std::string out;
  for (const PathValue &leaf : batch.updates)
    out += model::path_to_text(leaf.path) + "=" + leaf.value.dump() + " ";
  for (const model::Path &path : batch.deletes) out += "-" + model::path_to_text(path) + " ";
  return out;
}

Subscription on_change(const char *path, double heartbeat = 0) {
  return {parse_path(path), Subscription::Mode::on_change, 10, heartbeat, false};
}
Subscription sample(const char *path, double interval, bool suppress, double heartbeat = 0) {
  return {parse_path(path), Subscription::Mode::sample, interval, heartbeat, suppress};
}

} // namespace

TEST_CASE(
    "on change: everything once, then what differs, then what is gone; missed values come as the newest") {
  World world{{{"/a/x", 1}, {"/a/y", 2}, {"/b/z", 3}}};
  SubscriptionTracker follower({on_change("/a")}, 0);
  CHECK(told(follower.collect_due(0, world.all())) == "/a/x=1 /a/y=2 ");
  CHECK(told(follower.collect_due(1, world.all())).empty());
  world.values["/a/x"] = 5, world.values["/b/z"] = 9;
  world.values["/a/x"] = 6; // 5 was never read
  CHECK(told(follower.collect_due(2, world.all())) == "/a/x=6 ");
  world.values.erase("/a/y");
  world.values["/a/n"] = 1;
  CHECK(told(follower.collect_due(3, world.all())) == "/a/n=1 -/a/y ");
  CHECK(std::isinf(follower.next_due()));
}

TEST_CASE("heartbeats repeat all; samples keep their beat, suppressed ones only what changed") {
  World world{{{"/a/x", 1}, {"/a/y", 2}}};
  SubscriptionTracker beats({on_change("/a", 10)}, 0);
  beats.collect_due(0, world.all());
  CHECK(beats.next_due() == 10);
  CHECK(told(beats.collect_due(10, world.all())) == "/a/x=1 /a/y=2 ");
  CHECK(beats.next_due() == 20);
  SubscriptionTracker samples({sample("/a", 2, false)}, 0);
  CHECK(told(samples.collect_due(0, world.all())) == "/a/x=1 /a/y=2 ");
  CHECK(told(samples.collect_due(1, world.all())).empty());
  CHECK(told(samples.collect_due(7, world.all())) == "/a/x=1 /a/y=2 "); // late: missed beats are not made up
  CHECK(samples.next_due() == 8);
  SubscriptionTracker suppressed({sample("/a", 2, true, 6)}, 0);
  suppressed.collect_due(0, world.all());
  world.values["/a/y"] = 3;
  CHECK(told(suppressed.collect_due(2, world.all())) == "/a/y=3 ");
  CHECK(told(suppressed.collect_due(4, world.all())).empty());
  CHECK(told(suppressed.collect_due(6, world.all())) == "/a/x=1 /a/y=3 ");
}

TEST_CASE("what a subscriber has is not told again; overlapping subscriptions tell a path once") {
  World world{{{"/a/x", 1}, {"/a/y", 2}}};
  SubscriptionTracker follower({on_change("/a"), on_change("/a/y"), on_change("/.../x")}, 0);
  follower.mark_sent({{parse_path("/a/x"), 1}, {parse_path("/a/y"), 7}, {parse_path("/a/gone"), 1}});
  CHECK(told(follower.collect_due(0, world.all())) == "/a/y=2 -/a/gone ");
  world.values["/a/x"] = 4;
  CHECK(told(follower.collect_due(1, world.all())) == "/a/x=4 ");
  CHECK(follower.covers_root("a"));
  SubscriptionTracker narrow({on_change("/front/limits")}, 0);
  CHECK_FALSE(narrow.covers_root("state"));
}
