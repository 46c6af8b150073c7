// What one subscriber is owed: it has been sent some values, others hold now. Values are compared, not events
// queued: a subscriber that reads slowly finds the newest value of each path at its next read, so what is
// kept for it is bounded by what it asked for, and several changes of a path in between come as one (counted
// by the caller). No I/O and no clock; times are seconds.
#pragma once
#include "model/model.h"

#include <functional>

namespace snowshore::management {

struct Subscription {
  enum class Mode { on_change, sample };
  model::Path path;
  Mode mode = Mode::on_change;
  double interval = 10;  // of samples
  double heartbeat = 0;  // all values again after so long; 0: never
  bool suppress = false; // samples that have not changed are left out
};

class SubscriptionTracker {
 public:
  using Values = std::function<std::vector<model::PathValue>(const model::Path &)>; // what holds now

  SubscriptionTracker(std::vector<Subscription> subscriptions, double now);

  struct Batch {
    std::vector<model::PathValue> updates;
    std::vector<model::Path> deletes;
    bool empty() const { return updates.empty() && deletes.empty(); }
  };
  // All that is due now, each path at most once, and noted as sent.
  Batch collect_due(double now, const Values &values);
  // Taken as sent without sending: what a subscriber that comes again has, or does not want.
  void mark_sent(const std::vector<model::PathValue> &leaves);
  // When samples or heartbeats are due next; INFINITY: never.
  double next_due() const;
  bool covers_root(std::string_view root) const; // whether any subscription may reach into /root

 private:
  struct Kept {
    model::PathValue leaf;
    bool seen = false; // in the look under way
  };
  struct Line {
    Subscription what;
    double next_sample = 0, next_heartbeat = 0;
    std::map<std::string, Kept> sent; // by path
  };
  std::vector<Line> lines_;
};

} // namespace snowshore::management
