#include "platform/process_continuity.h"

#include <algorithm>

namespace snowshore::platform {

namespace {

// Earlier spans that are kept. A message about an old session may show that one of them is the current
// process's.
constexpr std::size_t kMaxSpans = 8;

} // namespace

void ProcessContinuity::heard(double since, double now) {
  Span current{std::min(since, now), now};
  std::erase_if(spans_, [&](const Span &span) {
    if (span.until < current.since) return false;
    current.since = std::min(current.since, span.since);
    return true;
  });
  spans_.push_back(current);
  if (spans_.size() > kMaxSpans) spans_.erase(spans_.begin());
}

bool ProcessContinuity::includes(double held_at) const {
  return !spans_.empty() && held_at >= spans_.back().since;
}

} // namespace snowshore::platform
