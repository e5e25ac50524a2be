#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ENTRY_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ENTRY_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// Identifies an adapter of a model regardless of its version.
struct adapter_name {
  std::string Model;
  std::string Adapter;

  auto operator<=>(const adapter_name &) const = default;
};

/// One version of an adapter. Version 0 stands for any version.
struct versioned_adapter {
  adapter_name Name;
  std::uint64_t Version = 0;

  auto operator<=>(const versioned_adapter &) const = default;
};

/// The registration of an upstream.
struct upstream_entry {
  /// Identifies the instance of the upstream; usually new at each start.
  std::string Name;
  upstream_id Id;
  std::string Service;
  std::string Zone;
  endpoint Address;
  std::uint32_t Slots = 0;
  /// Whether it finishes its running requests and accepts no new ones.
  bool Draining = false;
  /// How much longer it warms up after a start, when it was registered so.
  milliseconds WarmUpLeft{0};
  /// Changes at each start, and so tells apart two starts under one name.
  std::int64_t StartedAt = 0;
  std::vector<std::string> Models;
  std::vector<versioned_adapter> Adapters;
  /// The number of orders that it has accepted.
  std::uint64_t OrderCount = 0;
};

using upstream_pointer = std::shared_ptr<const upstream_entry>;

/// An adapter version that the operator has released.
struct adapter_release {
  adapter_name Name;
  std::uint64_t Version = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ENTRY_H
