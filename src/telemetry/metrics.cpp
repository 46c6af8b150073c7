// The metrics are built and serialized by prometheus-cpp.
#include "telemetry/metrics.h"

#include <prometheus/text_serializer.h>

namespace snowshore::telemetry {

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const Labels &labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help, const Labels &labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                                          std::vector<double> bounds, const Labels &labels) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(labels,
                                                                                    std::move(bounds));
}

std::string Metrics::render_text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

std::vector<double> duration_buckets() {
  return {1e-5, 2e-5, 5e-5, 1e-4, 2e-4, 5e-4, 1e-3, 2e-3, 5e-3, 1e-2, 2e-2, 5e-2, 0.1, 0.2, 0.5, 1, 2, 5, 10};
}

} // namespace snowshore::telemetry
