// The retry budget: in each sliding window, a fixed number of retries plus a share of the requests accepted
// in it. There is no clock: the time comes with each call, in seconds. A request counts from when it was
// taken, which may be before earlier calls.
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore {

class RetryBudget {
 public:
  struct Settings {
    // Length of the window in seconds; 0 means that retries are not limited.
    double window = 0;
    // Retries that are allowed whatever the number of requests.
    double free_retries = 0;
    // Further retries, as a share of the requests accepted in the window.
    double retry_share = 0;
  };
  void set_settings(const Settings &settings) { settings_ = settings; }

  void request_accepted(double taken_at) {
    std::erase_if(requests_, [&](double at) { return at <= taken_at - settings_.window; });
    if (settings_.window > 0) requests_.push_back(taken_at);
  }
  // Returns whether one more retry fits into the budget.
  bool allows(double now) {
    std::erase_if(retries_, [&](double at) { return at < now - settings_.window; });
    auto recent_requests =
        std::ranges::count_if(requests_, [&](double at) { return at > now - settings_.window; });
    double allowed = settings_.free_retries + settings_.retry_share * static_cast<double>(recent_requests);
    return settings_.window <= 0 || static_cast<double>(retries_.size()) + 1 <= allowed;
  }
  void retry_made(double now) { retries_.push_back(now); }

 private:
  Settings settings_;
  // Times of requests and of retries within the window.
  std::vector<double> requests_, retries_;
};

} // namespace snowshore
