// Counters, gauges and histograms by prometheus-cpp, in one registry, rendered as the text that /metrics
// serves. Pointers that are handed out live as long as the registry; on one executor, no locking of ours.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace snowshore::telemetry {

using Labels = std::map<std::string, std::string>;

class Metrics {
 public:
  prometheus::Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
  prometheus::Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
  prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                   std::vector<double> bounds, const Labels &labels = {});
  std::string text() const;

 private:
  prometheus::Registry registry_;
};

std::vector<double> time_bounds(); // seconds, from 10 us to 10 s, for decisions and answers alike

} // namespace snowshore::telemetry
