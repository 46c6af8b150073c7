// The budget of further attempts: in every window of the span, so many for free and a share of the requests
// taken in it. No clock: the time comes with each call, in seconds, and never goes back.
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore {

class RetryBudget {
 public:
  struct Terms {
    double span = 0;  // seconds; 0: no limit
    double free = 0;  // attempts
    double share = 0; // of the requests taken within the span
  };
  void set(const Terms &terms) { terms_ = terms; }

  void request_taken(double now) {
    std::erase_if(taken_, [&](double at) { return at <= now - terms_.span; });
    if (terms_.span > 0) taken_.push_back(now);
  }
  bool allows(double now) {
    std::erase_if(further_, [&](double at) { return at < now - terms_.span; });
    auto taken = std::ranges::count_if(taken_, [&](double at) { return at > now - terms_.span; });
    double allowed = terms_.free + terms_.share * static_cast<double>(taken);
    return terms_.span <= 0 || static_cast<double>(further_.size()) + 1 <= allowed;
  }
  void attempt_made(double now) { further_.push_back(now); } // a further one

 private:
  Terms terms_;
  std::vector<double> taken_, further_; // moments
};

} // namespace snowshore
