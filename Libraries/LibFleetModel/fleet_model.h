#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_FLEET_MODEL_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_FLEET_MODEL_H

#include "LibFleetModel/model_settings.h"
#include "LibGateway/upstream_choice.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// How engines are chosen.
struct model_policy {
  std::string Name;
  upstream_ranking Rank;
  /// Whether a request waits for an adapter slot at any engine of a zone, or at
  /// the chosen one only.
  bool WaitsInZone = true;
};

/// The policy in use, then those that it is compared with.
std::vector<model_policy> modelPolicies();

/// How the requests of one kind ended.
struct kind_result {
  std::string Name;
  std::uint64_t Requests = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0;
  /// Their caller left, or their engine was lost.
  std::uint64_t Failed = 0;
  double WorthOwed = 0;
  double WorthEarned = 0;
  double FirstEventP50Milliseconds = 0;
  double FirstEventP99Milliseconds = 0;
};

/// The results of a run.
struct model_result {
  std::vector<kind_result> Kinds;
  double WorthShare = 0;
  /// The share of the worth by the second in which requests arrived.
  std::vector<double> WorthBySecond;
  std::uint64_t Fetches = 0;
  std::uint64_t CopiesLoaded = 0;
  /// Requests that waited for a load or an adapter slot.
  std::uint64_t Stalled = 0;
  double StallP99Milliseconds = 0;
  /// Tokens of prompts that were prefilled, and the part of them that another
  /// engine had cached for the same adapter.
  std::int64_t TokensPrefilled = 0;
  double PrefilledAgainShare = 0;
  std::uint64_t Preemptions = 0;
  /// The part of the requests that ran in another zone than their host's.
  double OtherZoneShare = 0;
};

/// Runs the library's own decisions over seeded arrivals on a virtual clock.
/// The same settings give the same result. Thread-safe.
model_result runFleetModel(const model_settings &Settings,
                           const model_pattern &Pattern,
                           const model_policy &Policy);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_FLEET_MODEL_H
