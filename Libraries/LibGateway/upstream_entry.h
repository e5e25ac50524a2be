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

/// Names an adapter of a model, whatever its version.
struct adapter_name {
  std::string Model;
  std::string Adapter;

  auto operator<=>(const adapter_name &) const = default;
};

/// One version of an adapter. 0 stands for whatever version is there.
struct loaded_adapter {
  adapter_name Name;
  std::uint64_t Version = 0;

  auto operator<=>(const loaded_adapter &) const = default;
};

/// An upstream as it registers itself.
struct upstream_entry {
  /// The identity of this start of the upstream, mostly new at each.
  std::string Name;
  upstream_id Id;
  std::string Service;
  std::string Zone;
  endpoint Address;
  std::uint32_t Slots = 0;
  /// It finishes what it has and takes nothing new.
  bool Leaving = false;
  /// Changes at each start; two starts may share a name.
  std::int64_t StartedAt = 0;
  std::vector<std::string> Models;
  std::vector<loaded_adapter> Adapters;
  /// Counts the orders that it accepted.
  std::uint64_t OrderCount = 0;
};

using upstream_pointer = std::shared_ptr<const upstream_entry>;

/// A new version of an adapter that the operator announced.
struct adapter_release {
  adapter_name Name;
  std::uint64_t Version = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ENTRY_H
