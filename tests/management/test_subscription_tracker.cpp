#include "management/subscription_tracker.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace snowshore;
using management::Subscription;
using management::SubscriptionTracker;
using model::parse_path;
using model::PathValue;

namespace {

struct Source { // the values that hold now, by path
  std::map<std::string, int> values;
  SubscriptionTracker::ValueSource all() const {
    return [this](const model::Path &pattern) {
      std::vector<PathValue> out;
      for (const auto &[path, value] : values) {
        if (model::covers(pattern, parse_path(path))) out.push_back({parse_path(path), value});
      }
      return out;
    };
  }
};

std::string to_text(const SubscriptionTracker::Batch &batch) {
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
    "on change: all values first, then changed and removed ones; of several changes only the newest value") {
  Source source{{{"/a/x", 1}, {"/a/y", 2}, {"/b/z", 3}}};
  SubscriptionTracker tracker({on_change("/a")}, 0);
  CHECK(to_text(tracker.collect_due(0, source.all())) == "/a/x=1 /a/y=2 ");
  CHECK(to_text(tracker.collect_due(1, source.all())).empty());
  source.values["/a/x"] = 5, source.values["/b/z"] = 9;
  source.values["/a/x"] = 6; // The subscriber does not see 5.
  CHECK(to_text(tracker.collect_due(2, source.all())) == "/a/x=6 ");
  source.values.erase("/a/y");
  source.values["/a/n"] = 1;
  CHECK(to_text(tracker.collect_due(3, source.all())) == "/a/n=1 -/a/y ");
  CHECK(std::isinf(tracker.next_due()));
}

TEST_CASE("heartbeats repeat all values; samples keep their schedule and can leave out unchanged values") {
  Source source{{{"/a/x", 1}, {"/a/y", 2}}};
  SubscriptionTracker heartbeats({on_change("/a", 10)}, 0);
  heartbeats.collect_due(0, source.all());
  CHECK(heartbeats.next_due() == 10);
  CHECK(to_text(heartbeats.collect_due(10, source.all())) == "/a/x=1 /a/y=2 ");
  CHECK(heartbeats.next_due() == 20);
  SubscriptionTracker samples({sample("/a", 2, false)}, 0);
  CHECK(to_text(samples.collect_due(0, source.all())) == "/a/x=1 /a/y=2 ");
  CHECK(to_text(samples.collect_due(1, source.all())).empty());
  CHECK(to_text(samples.collect_due(7, source.all())) ==
        "/a/x=1 /a/y=2 "); // A late sample: the missed ones are not made up for.
  CHECK(samples.next_due() == 8);
  SubscriptionTracker suppressed({sample("/a", 2, true, 6)}, 0);
  suppressed.collect_due(0, source.all());
  source.values["/a/y"] = 3;
  CHECK(to_text(suppressed.collect_due(2, source.all())) == "/a/y=3 ");
  CHECK(to_text(suppressed.collect_due(4, source.all())).empty());
  CHECK(to_text(suppressed.collect_due(6, source.all())) == "/a/x=1 /a/y=3 ");
}

TEST_CASE("values that a subscriber has are not sent again; overlapping subscriptions send a path once") {
  Source source{{{"/a/x", 1}, {"/a/y", 2}}};
  SubscriptionTracker tracker({on_change("/a"), on_change("/a/y"), on_change("/.../x")}, 0);
  tracker.mark_sent({{parse_path("/a/x"), 1}, {parse_path("/a/y"), 7}, {parse_path("/a/gone"), 1}});
  CHECK(to_text(tracker.collect_due(0, source.all())) == "/a/y=2 -/a/gone ");
  source.values["/a/x"] = 4;
  CHECK(to_text(tracker.collect_due(1, source.all())) == "/a/x=4 ");
  CHECK(tracker.covers_root("a"));
  SubscriptionTracker limits_only({on_change("/front/limits")}, 0);
  CHECK_FALSE(limits_only.covers_root("state"));
}
