#ifndef PARSLEYSPINDLE_LIBMETRICS_METRICS_H
#define PARSLEYSPINDLE_LIBMETRICS_METRICS_H

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace spindle {

using metric_labels = std::map<std::string, std::string>;

/// The process's metrics, stored by prometheus-cpp. Names start with "spindle_"
/// and end with their unit. Thread-safe in every method.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds \p Amount, not negative, to a counter, which is made at first use.
  void count(std::string_view Name, const metric_labels &Labels = {},
             double Amount = 1);
  /// Sets a gauge, which is made at first use.
  void gauge(std::string_view Name, const metric_labels &Labels, double Value);
  /// Adds \p Seconds to a histogram of durations, made at first use.
  void observeSeconds(std::string_view Name, const metric_labels &Labels,
                      double Seconds);
  /// Writes all metrics in the Prometheus text format.
  std::string toText() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMETRICS_METRICS_H
