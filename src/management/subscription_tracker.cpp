#include "management/subscription_tracker.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace snowshore::management {

SubscriptionTracker::SubscriptionTracker(std::vector<Subscription> subscriptions, double now) {
  for (Subscription &subscription : subscriptions) {
    TrackedSubscription tracked{std::move(subscription), now, 0, {}};
    tracked.next_heartbeat =
        tracked.subscription.heartbeat > 0 ? now + tracked.subscription.heartbeat : INFINITY;
    if (tracked.subscription.mode == Subscription::Mode::on_change) tracked.next_sample = INFINITY;
    subscriptions_.push_back(std::move(tracked));
  }
}

SubscriptionTracker::Batch SubscriptionTracker::collect_due(double now, const ValueSource &values) {
  Batch batch;
  std::set<std::string> in_batch; // Paths that this batch has already, for an earlier subscription.
  for (TrackedSubscription &tracked : subscriptions_) {
    bool heartbeat_due = now >= tracked.next_heartbeat;
    bool is_sample = tracked.subscription.mode == Subscription::Mode::sample;
    if (is_sample && now < tracked.next_sample && !heartbeat_due) continue;
    for (auto &[path, sent_value] : tracked.sent) sent_value.seen = false;
    for (model::PathValue &leaf : values(tracked.subscription.path)) {
      std::string path = model::path_to_text(leaf.path);
      auto [entry_it, is_new] = tracked.sent.try_emplace(path);
      SentValue &sent_value = entry_it->second;
      sent_value.seen = true;
      bool unchanged = !is_new && sent_value.leaf.value == leaf.value;
      if (unchanged && !heartbeat_due && !(is_sample && !tracked.subscription.suppress)) continue;
      sent_value.leaf = leaf;
      if (in_batch.insert(path).second) batch.updates.push_back(std::move(leaf));
    }
    std::erase_if(tracked.sent, [&](auto &entry) {
      if (entry.second.seen) return false;
      if (in_batch.insert(entry.first).second) batch.deletes.push_back(std::move(entry.second.leaf.path));
      return true;
    });
    // A late call does not shift the schedule, and missed samples and heartbeats are not made up for.
    while (tracked.next_sample <= now) tracked.next_sample += std::max(tracked.subscription.interval, 1e-3);
    while (tracked.next_heartbeat <= now) tracked.next_heartbeat += tracked.subscription.heartbeat;
  }
  return batch;
}

void SubscriptionTracker::mark_sent(const std::vector<model::PathValue> &leaves) {
  for (TrackedSubscription &tracked : subscriptions_) {
    for (const model::PathValue &leaf : leaves) {
      if (model::covers(tracked.subscription.path, leaf.path))
        tracked.sent[model::path_to_text(leaf.path)] = {leaf, false};
    }
  }
}

double SubscriptionTracker::next_due() const {
  double next = INFINITY;
  for (const TrackedSubscription &tracked : subscriptions_)
    next = std::min({next, tracked.next_sample, tracked.next_heartbeat});
  return next;
}

bool SubscriptionTracker::covers_root(std::string_view root) const {
  return std::ranges::any_of(subscriptions_, [&](const TrackedSubscription &tracked) {
    if (tracked.subscription.path.empty()) return true;
    const std::string &name = tracked.subscription.path[0].name;
    return name == "*" || name == "..." || name == root;
  });
}

} // namespace snowshore::management
