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

/// What may be repeated of a route's calls.
enum class call_kind {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// Answers with events; runs at most once unless it can be resumed.
  Stream,
};

struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// Where the requests of a host name and path go.
struct gateway_route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  call_kind Kind = call_kind::AtMostOnce;
  /// When a request must have its final answer; 0 sets no limit.
  milliseconds Timeout{0};
  /// The latency that callers expect: to the whole answer, or to a stream's
  /// first event.
  milliseconds Objective{0};
  /// How long callers bear the silence of a stream, also before its first
  /// event; 0 if they are not known to leave.
  milliseconds Patience{0};
  /// The smaller, the more urgent.
  int Priority = 0;
  /// The most upstreams that one request is sent to.
  std::uint32_t Attempts = 1;
  /// Whether requests need no key.
  bool Open = false;
  /// Whether a broken stream may go on at another upstream.
  bool Resumable = false;
  std::vector<weighted_service> Services;

  /// Whether a request may be sent again although it may have run.
  bool repeatable() const {
    return Kind == call_kind::Idempotent ||
           (Kind == call_kind::Stream && Resumable);
  }
};

/// A base model that engines may load.
struct engine_model {
  std::string Name;
  double Megabytes = 0;
  double AdapterMegabytes = 0;
};

/// What a service's model engines have room for.
struct engine_capacity {
  std::uint32_t AdapterPlaces = 0;
  std::uint32_t BatchSlots = 0;
  std::int64_t CacheTokens = 0;
  /// For models and adapters together.
  double Megabytes = 0;
  std::vector<engine_model> Models;
  /// How many models all engines together may fetch from the weight store.
  double ModelLoadsPerSecond = 0;
};

/// How many adapters an engine has room for beside the largest of its models.
/// Thread-safe.
std::size_t adapterPlaces(const engine_capacity &Engine);

struct gateway_service {
  std::string Name;
  std::string HealthPath;
  std::uint32_t MostConnections = 0;
  /// Set if its upstreams are model engines.
  std::optional<engine_capacity> Engine;
};

struct gateway_customer {
  std::string Name;
  std::vector<std::string> Keys;
  /// Goes before the route's priority if set.
  std::optional<int> Priority;
  /// 0 sets no limit. In tokens or requests, as CountsTokens says.
  double RatePerSecond = 0;
  double Burst = 0;
  bool CountsTokens = false;
  /// What a request counts that states no tokens.
  std::int64_t PlainTokens = 1;
};

/// What one caller may send.
struct caller_limits {
  std::size_t HeaderBytes = 16'384;
  std::size_t BodyBytes = 4U << 20U;
  milliseconds HeaderTimeout{10'000};
  milliseconds IdleTimeout{60'000};
};

/// A configuration as the operator wrote it. Immutable once it is in force.
struct gateway_configuration {
  std::uint64_t Version = 0;
  std::vector<gateway_route> Routes;
  std::map<std::string, gateway_service, std::less<>> Services;
  std::vector<gateway_customer> Customers;
  caller_limits Limits;
  /// Index into Customers by key.
  std::unordered_map<std::string, std::size_t> KeyHolders;
};

using configuration_pointer = std::shared_ptr<const gateway_configuration>;

/// Fills KeyHolders. Call once, after Customers is complete.
void indexKeys(gateway_configuration &Configuration);
/// The route with the longest prefix of \p Path among those of \p Host, or
/// null. A port in \p Host is left out of the comparison. Thread-safe.
const gateway_route *findRoute(const gateway_configuration &Configuration,
                               std::string_view Host, std::string_view Path);
/// The customer who holds \p Key, or null. Thread-safe.
const gateway_customer *findCustomer(const gateway_configuration &Configuration,
                                     std::string_view Key);
/// Chooses a route's service by weight. The same \p Draw, from 0 to below 1,
/// gives the same service. Null if the route names no declared service.
/// Thread-safe.
const gateway_service *chooseService(const gateway_configuration &Configuration,
                                     const gateway_route &Route, double Draw);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CONFIGURATION_H
