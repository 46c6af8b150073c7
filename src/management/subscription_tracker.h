// Computes what a subscriber has to be sent: the difference between the values that it was sent and the
// values that hold now. Values are compared and events are not queued. A slow subscriber gets the newest
// value of each path at its next read, so the memory kept for it is bounded by what it subscribed to, and
// several changes of a path between two reads arrive as one, which the caller counts. This module does no I/O
// and reads no clock; times are in seconds.
#pragma once
#include "model/model.h"

#include <functional>

namespace snowshore::management {

struct Subscription {
  enum class Mode { on_change, sample };
  model::Path path;
  Mode mode = Mode::on_change;
  double interval = 10;  // between samples
  double heartbeat = 0;  // interval at which all values are repeated; 0: never
  bool suppress = false; // leaves unchanged values out of samples
};

class SubscriptionTracker {
 public:
  // Returns the values that hold now at and below a path.
  using ValueSource = std::function<std::vector<model::PathValue>(const model::Path &)>;

  SubscriptionTracker(std::vector<Subscription> subscriptions, double now);

  struct Batch {
    std::vector<model::PathValue> updates;
    std::vector<model::Path> deletes;
    bool empty() const { return updates.empty() && deletes.empty(); }
  };
  // Returns all that is due now, each path at most once, and records it as sent.
  Batch collect_due(double now, const ValueSource &values);
  // Records values as sent without sending them: those that a resuming subscriber has, or that it does not
  // want.
  void mark_sent(const std::vector<model::PathValue> &leaves);
  // Returns when the next sample or heartbeat is due; INFINITY: never.
  double next_due() const;
  // Whether any subscription may select nodes below /root.
  bool covers_root(std::string_view root) const;

 private:
  struct SentValue {
    model::PathValue leaf;
    bool seen = false; // in the pass of collect_due that is in progress
  };
  struct TrackedSubscription {
    Subscription subscription;
    double next_sample = 0, next_heartbeat = 0;
    std::map<std::string, SentValue> sent; // by path text
  };
  std::vector<TrackedSubscription> subscriptions_;
};

} // namespace snowshore::management
