#ifndef PARSLEYSPINDLE_LIBRESIDENCY_PIN_CACHE_H
#define PARSLEYSPINDLE_LIBRESIDENCY_PIN_CACHE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace spindle {

/// An adapter on an engine.
struct placement {
  upstream_id Engine;
  adapter_id Adapter;
  auto operator<=>(const placement &) const = default;
};

/// A pin that this host holds or has requested.
struct cached_pin {
  /// Requests of this host that are running under the pin.
  std::uint32_t Uses = 0;
  /// Pin requests to the owner that await a response.
  std::uint32_t PendingRequests = 0;
  bool Held = false;
  /// The owner has recalled the pin: no further request may use it.
  bool Recalled = false;
  /// The fencing token of the owner that last granted or confirmed the pin.
  std::uint64_t Fence = 0;
  time_point LastUsed;
  /// Requests that started to use the pin since the last acknowledged sync.
  std::uint32_t UsesSinceSync = 0;
};

/// The last sync of this host that an engine's current owner has acknowledged.
struct acknowledged_sync {
  std::uint64_t Fence = 0;
  std::uint64_t Sequence = 0;
  /// The lowest sequence number of a sync that includes the last change.
  std::uint64_t LastChange = 0;
  time_point Time;
};

/// A sync is repeated after this time even if nothing has changed, so that the
/// owner can release the pins of former incarnations of this host.
inline constexpr seconds ResyncInterval{20};

/// The pins of this host. An unused pin is retained for some time, so that
/// requests for a frequently used adapter need no call to its owner.
struct pin_cache {
  /// The last sequence number; pin requests and syncs share one sequence.
  std::uint64_t LastSequence = 0;
  std::map<placement, cached_pin> Pins;
  std::map<upstream_id, acknowledged_sync> Acknowledged;
};

/// A pin as listed in a sync.
struct synced_pin {
  placement Placement;
  std::uint32_t UsesSinceSync = 0;
};

/// An engine and the fencing token of its ownership.
struct fenced_engine {
  upstream_id Engine;
  std::uint64_t Fence = 0;
};

/// A sync for one owner: the complete set of this host's pins on the listed
/// engines.
struct pin_sync {
  std::uint64_t Sequence = 0;
  std::vector<fenced_engine> Engines;
  std::vector<synced_pin> Pins;
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// cache.

/// Starts a use of a held pin. Returns false if no usable pin is held.
bool beginCachedUse(pin_cache &Cache, placement Placement, time_point Now);
/// Records a pin request to the owner and returns its sequence number. Every
/// sync from now on lists the pin, until endPinRequest().
std::uint64_t beginPinRequest(pin_cache &Cache, placement Placement);
/// Records the owner's response. If the pin is \p Granted, starts a use and
/// returns true, unless \p Fence is older than \p CurrentFence.
bool endPinRequest(pin_cache &Cache, placement Placement, bool Granted,
                   std::uint64_t Fence, std::uint64_t CurrentFence,
                   time_point Now);
/// Ends a use. Precondition: the use has started.
void endUse(pin_cache &Cache, placement Placement, time_point Now);

/// Drops pins that are unused and either recalled or unused for \p Retention.
void dropUnusedPins(pin_cache &Cache, milliseconds Retention, time_point Now);
/// Returns whether the owner of \p Engine needs a sync.
bool needsSync(const pin_cache &Cache, const fenced_engine &Engine,
               time_point Now);
/// Builds a sync that covers \p Engines.
pin_sync composeSync(pin_cache &Cache, std::span<const fenced_engine> Engines);
/// Records that the owner has applied \p Sync for \p Engine.
void noteSyncAcknowledged(pin_cache &Cache, const pin_sync &Sync,
                          const fenced_engine &Engine, time_point Now);
/// Records that the owner has refused or recalled a pin.
void notePinRecalled(pin_cache &Cache, placement Placement);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_PIN_CACHE_H
