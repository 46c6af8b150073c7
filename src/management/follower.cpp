#include "management/follower.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace snowshore::management {

SubscriptionTracker::SubscriptionTracker(std::vector<Subscription> subscriptions, double now) {
  for (Subscription &one : subscriptions) {
    Line line{std::move(one), now, 0, {}};
    line.next_heartbeat = line.what.heartbeat > 0 ? now + line.what.heartbeat : INFINITY;
    if (line.what.mode == Subscription::Mode::on_change) line.next_sample = INFINITY;
    lines_.push_back(std::move(line));
  }
}

SubscriptionTracker::Batch SubscriptionTracker::collect_due(double now, const Values &values) {
  Batch batch;
  std::set<std::string> told; // by this batch already, for an earlier line
  for (Line &line : lines_) {
    bool beat = now >= line.next_heartbeat;
    bool sampled = line.what.mode == Subscription::Mode::sample;
    if (sampled && now < line.next_sample && !beat) continue;
    for (auto &[path, kept] : line.sent) kept.seen = false;
    for (model::PathValue &leaf : values(line.what.path)) {
      std::string path = model::path_to_text(leaf.path);
      auto [place, fresh] = line.sent.try_emplace(path);
      Kept &kept = place->second;
      kept.seen = true;
      bool same = !fresh && kept.leaf.value == leaf.value;
      if (same && !beat && !(sampled && !line.what.suppress)) continue;
      kept.leaf = leaf;
      if (told.insert(path).second) batch.updates.push_back(std::move(leaf));
    }
    std::erase_if(line.sent, [&](auto &entry) {
      if (entry.second.seen) return false;
      if (told.insert(entry.first).second) batch.deletes.push_back(std::move(entry.second.leaf.path));
      return true;
    });
    // The next one stays on the beat, however late this one was; beats that were missed are not made up.
    while (line.next_sample <= now) line.next_sample += std::max(line.what.interval, 1e-3);
    while (line.next_heartbeat <= now) line.next_heartbeat += line.what.heartbeat;
  }
  return batch;
}

void SubscriptionTracker::mark_sent(const std::vector<model::PathValue> &leaves) {
  for (Line &line : lines_) {
    for (const model::PathValue &leaf : leaves) {
      if (model::covers(line.what.path, leaf.path)) line.sent[model::path_to_text(leaf.path)] = {leaf, false};
    }
  }
}

double SubscriptionTracker::next_due() const {
  double next = INFINITY;
  for (const Line &line : lines_) next = std::min({next, line.next_sample, line.next_heartbeat});
  return next;
}

bool SubscriptionTracker::covers_root(std::string_view root) const {
  return std::ranges::any_of(lines_, [&](const Line &line) {
    if (line.what.path.empty()) return true;
    const std::string &name = line.what.path[0].name;
    return name == "*" || name == "..." || name == root;
  });
}

} // namespace snowshore::management
