#include "LibMetrics/metrics.h"

#include <mutex>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace spindle {

static const prometheus::Histogram::BucketBoundaries DurationBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,  0.25,
    0.5,    1.0,   1.2,   2.5,   5.0,  10.0, 30.0, 60.0, 300.0};

/// Families are looked up by name under a lock; prometheus-cpp's own look-up
/// of a family walks all of them.
struct metrics::state {
  prometheus::Registry Registry;
  std::mutex Mutex;
  std::unordered_map<std::string, prometheus::Family<prometheus::Counter> *>
      Counters;
  std::unordered_map<std::string, prometheus::Family<prometheus::Gauge> *>
      Gauges;
  std::unordered_map<std::string, prometheus::Family<prometheus::Histogram> *>
      Histograms;

  template <typename family, typename builder>
  family &find(std::unordered_map<std::string, family *> &Families,
               std::string_view Name, builder Build) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    family *&Found = Families[std::string(Name)];
    if (!Found)
      Found = &Build().Name(std::string(Name)).Register(Registry);
    return *Found;
  }
};

metrics::metrics() : State(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::count(std::string_view Name, const metric_labels &Labels,
                    double Amount) {
  prometheus::Family<prometheus::Counter> &Family =
      State->find(State->Counters, Name, prometheus::BuildCounter);
  Family.Add(Labels).Increment(Amount);
}

void metrics::gauge(std::string_view Name, const metric_labels &Labels,
                    double Value) {
  prometheus::Family<prometheus::Gauge> &Family =
      State->find(State->Gauges, Name, prometheus::BuildGauge);
  Family.Add(Labels).Set(Value);
}

void metrics::observeSeconds(std::string_view Name, const metric_labels &Labels,
                             double Seconds) {
  prometheus::Family<prometheus::Histogram> &Family =
      State->find(State->Histograms, Name, prometheus::BuildHistogram);
  Family.Add(Labels, DurationBounds).Observe(Seconds);
}

std::string metrics::toText() const {
  return prometheus::TextSerializer().Serialize(State->Registry.Collect());
}

} // namespace spindle
