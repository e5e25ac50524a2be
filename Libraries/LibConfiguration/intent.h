#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibCore/tokens.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace spindle {

/// The order in which the requests of one customer are served, first to last.
enum class priority_class : std::uint8_t { Rush, Chat, Plain, Batch };

/// How a host that can't confirm its configuration treats the keys of a
/// customer.
enum class isolated_key_policy { Serve, Refuse };

struct customer_declaration {
  std::string Name;
  token_rate Rate;
  tokens Burst;
  /// The customer's share of contended engines, relative to other customers.
  std::uint32_t Weight = 1;
  /// The highest class that the customer's requests may claim.
  priority_class HighestPriority = priority_class::Rush;
  isolated_key_policy WhenIsolated = isolated_key_policy::Serve;
  /// How long an unconfirmed configuration is trusted under Refuse.
  seconds IsolationLimit{30};
};

/// A granted key. The key itself is never stored.
struct key_grant {
  std::string Name;
  std::string Customer;
  /// SHA-256 of the key, in hexadecimal.
  std::string Digest;
};

/// One version of an adapter, the unit that engines load.
struct adapter_declaration {
  std::string Name;
  std::string Version;
  std::string Model;
  /// The customer that may use it; empty: every customer.
  std::string Customer;
  /// Whether the bare name, without "@version", means this version.
  bool IsDefault = false;
};

enum class upstream_kind { Engine, Service };

struct upstream_declaration {
  std::string Name;
  upstream_kind Kind = upstream_kind::Engine;
  endpoint Address;
  std::string Zone;
  /// Engines: the base model.
  std::string Model;
  /// Engines: the number of adapters that can be loaded at the same time.
  std::uint32_t Slots = 8;
  /// Engines: how many requests run in one batch.
  std::uint32_t BatchSize = 16;
  /// Engines: whether orders with an outdated fencing token are refused.
  bool HonoursFencing = true;
};

enum class route_kind {
  /// OpenAI-style completions on engines.
  Model,
  /// A plain service.
  Service
};

struct route_declaration {
  std::string Name;
  route_kind Kind = route_kind::Service;
  std::string PathPrefix;
  std::vector<std::string> Methods;
  std::vector<std::string> Upstreams;
  /// Open to callers without a key.
  bool Open = false;
  /// Whether the system may retry a call.
  bool Idempotent = false;
  /// Not idempotent: whether an Idempotency-Key is required.
  bool OrderKeyRequired = true;
  /// Whether the service itself runs each order key at most once, so that
  /// orders may be sent while the platform can't record them.
  bool ServiceDeduplicates = false;
  std::size_t BodyLimitBytes = 1 << 20;
  milliseconds FirstByteTimeout{30'000};
  milliseconds BetweenBytesTimeout{10'000};
  /// Tokens charged for a call to a service.
  tokens Cost{1};
};

struct zone_declaration {
  std::string Name;
  std::string Region;
  /// The zone's share of every customer's rate, relative to other zones. The
  /// zone keeps this share when it loses contact with the others.
  std::uint32_t Weight = 1;
};

/// The policies and limits that trade off the operators' goals.
struct policy_declaration {
  /// "residency", "least-loaded", "random" or "consistent-hash".
  std::string Routing = "residency";
  /// "value" or "lru".
  std::string Residency = "value";
  /// "fair" or "fifo".
  std::string Queueing = "fair";
  /// Loads per second that the weight store allows for the whole fleet.
  double WeightStoreLoadsPerSecond = 2;
  /// Concurrent loads in the whole fleet that still run at full speed.
  std::uint32_t WeightStoreLoadsInFlight = 8;
  /// Maximum number of requests of one customer waiting on one host.
  std::uint32_t QueueLimit = 256;
  /// Maximum time that a request waits on a host.
  milliseconds QueueTimeout{10'000};
  /// A waiting request rises by one priority class after each such interval.
  milliseconds AgeingStep{4'000};
  /// Retries allowed per hundred calls of a customer.
  std::uint32_t RetryPercent = 10;
  /// How long a request that crashes upstreams is refused.
  seconds QuarantineTime{300};
};

/// The complete configuration that an operator declares.
struct intent {
  std::vector<zone_declaration> Zones;
  std::vector<customer_declaration> Customers;
  std::vector<key_grant> Keys;
  std::vector<adapter_declaration> Adapters;
  std::vector<upstream_declaration> Upstreams;
  std::vector<route_declaration> Routes;
  policy_declaration Policy;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_H
