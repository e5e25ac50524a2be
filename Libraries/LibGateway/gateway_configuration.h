#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CONFIGURATION_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CONFIGURATION_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibCore/tokens.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spindle {

/// Whether the requests of a route may be retried after they may have run.
enum class call_kind {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// Returns an event stream; runs at most once unless it can be resumed.
  Stream,
};

struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// Maps the requests for a host name and path prefix to services.
struct gateway_route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  call_kind Kind = call_kind::AtMostOnce;
  /// The time limit for the final response; 0 sets none.
  milliseconds Timeout{0};
  /// The latency objective: until the complete response, or until the first
  /// event of a stream.
  milliseconds Objective{0};
  /// The silence after which callers abandon a stream, also before its first
  /// event; 0 if not known.
  milliseconds MaxSilence{0};
  /// The longest pause between two events of a stream that meets the
  /// objective; 0 if the operator sets none.
  milliseconds GapObjective{0};
  /// Smaller values are more urgent.
  int Priority = 0;
  /// The largest number of upstreams that one request is sent to.
  std::uint32_t Attempts = 1;
  /// Whether requests are accepted without an API key.
  bool Public = false;
  /// Whether an interrupted stream may be resumed on another upstream.
  bool Resumable = false;
  std::vector<weighted_service> Services;

  /// Whether a request may be sent again after it may have run.
  bool retryable() const {
    return Kind == call_kind::Idempotent ||
           (Kind == call_kind::Stream && Resumable);
  }
};

/// A base model that engines may load.
struct base_model {
  std::string Name;
  double Megabytes = 0;
  double AdapterMegabytes = 0;
};

/// The capacity of each model engine of a service.
struct engine_capacity {
  std::uint32_t AdapterSlots = 0;
  std::uint32_t BatchSlots = 0;
  std::int64_t CacheTokens = 0;
  /// The output tokens that one event of a stream holds; 0 if not known.
  std::uint32_t TokensPerEvent = 0;
  /// Memory for models and adapters together.
  double Megabytes = 0;
  std::vector<base_model> Models;
  /// The rate at which all engines together may load models from the weight
  /// store.
  double ModelLoadsPerSecond = 0;
};

/// How many adapters fit in an engine beside the largest of its models.
/// Thread-safe.
std::size_t adapterSlotCount(const engine_capacity &Engine);

struct gateway_service {
  std::string Name;
  std::string HealthPath;
  std::uint32_t MaxConnections = 0;
  /// The request rate that an upstream tolerates while it warms up; 0 if
  /// upstreams of the service need no warm-up.
  double WarmUpRequestsPerSecond = 0;
  /// Set if the upstreams of the service are model engines.
  std::optional<engine_capacity> Engine;
};

struct gateway_customer {
  std::string Name;
  std::vector<std::string> Keys;
  /// Overrides the route's priority if set.
  std::optional<int> Priority;
  /// In tokens or requests, depending on CountsTokens; 0 sets no limit.
  double RatePerSecond = 0;
  double Burst = 0;
  bool CountsTokens = false;
  /// The tokens charged for a request that does not state its token counts.
  std::int64_t DefaultTokens = 1;
};

/// Limits on the requests and connections of one caller.
struct caller_limits {
  std::size_t HeaderBytes = 16'384;
  std::size_t BodyBytes = 4U << 20U;
  milliseconds HeaderTimeout{10'000};
  milliseconds IdleTimeout{60'000};
};

/// The operator's configuration. Immutable once it is in force.
struct gateway_configuration {
  std::uint64_t Version = 0;
  std::vector<gateway_route> Routes;
  std::map<std::string, gateway_service, std::less<>> Services;
  std::vector<gateway_customer> Customers;
  caller_limits Limits;
  /// Indices into Customers by API key.
  std::unordered_map<std::string, std::size_t> CustomersByKey;
};

using configuration_pointer = std::shared_ptr<const gateway_configuration>;

/// Fills CustomersByKey. Call once, after Customers is complete.
void indexKeys(gateway_configuration &Configuration);
/// The route of \p Host with the longest matching prefix of \p Path, or null.
/// A port in \p Host is ignored. Thread-safe.
const gateway_route *findRoute(const gateway_configuration &Configuration,
                               std::string_view Host, std::string_view Path);
/// The customer that \p Key belongs to, or null. Thread-safe.
const gateway_customer *findCustomer(const gateway_configuration &Configuration,
                                     std::string_view Key);
/// Selects a service of the route in proportion to the weights. \p Draw is a
/// number in [0, 1); the same value selects the same service. Returns null if
/// the route names no configured service. Thread-safe.
const gateway_service *chooseService(const gateway_configuration &Configuration,
                                     const gateway_route &Route, double Draw);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CONFIGURATION_H
