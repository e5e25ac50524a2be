#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_SOURCE_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_SOURCE_H

#include "LibFleetModel/model_request.h"
#include "LibFleetModel/model_settings.h"
#include "LibLoad/zipf_sampler.h"

#include <functional>
#include <random>

namespace spindle {

/// The model that all requests of a run are for.
inline constexpr const char *ModelName = "base";

/// Draws the requests of a run, by its load pattern, from a seeded generator.
/// Not thread-safe.
class request_source {
public:
  /// \p Settings and \p Pattern must outlive the object; the run begins at
  /// \p Begin.
  request_source(const model_settings &Settings, const model_pattern &Pattern,
                 time_point Begin);

  /// Draws all arrivals of a run: each kind is a Poisson process whose rate
  /// follows the phases. Calls \p OnArrival with the time and the kind.
  void drawArrivals(
      const std::function<void(time_point, std::size_t Kind)> &OnArrival);
  /// Draws a request of a kind that arrives now at one of \p HostCount hosts.
  request_pointer drawRequest(std::size_t Kind, std::size_t HostCount,
                              time_point Now);
  std::size_t drawHost(std::size_t HostCount);
  /// Draws a number in [\p Least, \p Most).
  double draw(double Least, double Most);
  /// The phase at a time; null if there is none.
  const model_phase *phaseAt(time_point Time) const;

private:
  adapter_name drawAdapter(const model_phase *Phase);

  const model_settings &Settings;
  const model_pattern &Pattern;
  const time_point Begin;
  std::mt19937_64 Random;
  zipf_sampler Popularity;
  std::uint64_t LastRequest = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_SOURCE_H
