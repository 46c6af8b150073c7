// Counters, gauges and histograms of prometheus-cpp in one registry, which is rendered as the text that
// /metrics serves. References that are returned live as long as the Metrics object. All calls come on one
// executor, so there is no locking beyond that of prometheus-cpp.
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
  // Each of these returns the metric with this name and these labels, which is added at the first call.
  prometheus::Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
  prometheus::Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
  prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                   std::vector<double> bounds, const Labels &labels = {});
  // All metrics in the Prometheus text format.
  std::string render_text() const;

 private:
  prometheus::Registry registry_;
};

// Histogram bounds in seconds, from 10 us to 10 s, for the durations of both decisions and answers.
std::vector<double> duration_buckets();

} // namespace snowshore::telemetry
