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

/// A pin that this host holds, or has asked for.
struct cached_pin {
  /// Requests of this host that run under the pin.
  std::uint32_t Uses = 0;
  /// Pin requests to the owner that have no answer yet.
  std::uint32_t Asked = 0;
  bool Held = false;
  /// The owner wants the pin back: no further request may use it.
  bool Recalled = false;
  /// The fence of the owner that granted or confirmed it last.
  std::uint64_t Fence = 0;
  time_point LastUsed;
  /// Requests that began since the last acknowledged sync.
  std::uint32_t Begun = 0;
};

/// What an engine's present owner has acknowledged of this host's pins.
struct acknowledged_sync {
  std::uint64_t Fence = 0;
  std::uint64_t Sequence = 0;
  /// The first sequence whose sync tells of the last release.
  std::uint64_t LastChange = 0;
  time_point Time;
};

/// A sync is repeated after this long also if nothing has changed, so that the
/// owner hears that former incarnations of this host are gone.
inline constexpr seconds ResyncAfter{20};

/// The pins of this host. An unused pin is kept for a while, so that requests
/// for a popular adapter needn't ask its owner.
struct pin_cache {
  /// Numbers pin requests and syncs alike.
  std::uint64_t LastSequence = 0;
  std::map<placement, cached_pin> Pins;
  std::map<upstream_id, acknowledged_sync> Acknowledged;
};

/// One pin as a sync names it.
struct synced_pin {
  placement Placement;
  std::uint32_t Begun = 0;
};

/// An engine and the fence under which its owner is known.
struct fenced_engine {
  upstream_id Engine;
  std::uint64_t Fence = 0;
};

/// A sync for one owner: the whole set of this host's pins on some engines.
struct pin_sync {
  std::uint64_t Sequence = 0;
  std::vector<fenced_engine> Engines;
  std::vector<synced_pin> Pins;
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// cache.

/// Uses a held pin for one more request. Returns false if there is none.
bool beginCachedUse(pin_cache &Cache, placement Placement, time_point Now);
/// Notes that the owner will be asked; returns the number of the request.
/// Every sync from now on names the pin, until endAsking().
std::uint64_t beginAsking(pin_cache &Cache, placement Placement);
/// Notes the owner's answer. If \p Granted, one use begins. Returns false if
/// the grant can't be used, as \p Fence is older than \p CurrentFence.
bool endAsking(pin_cache &Cache, placement Placement, bool Granted,
               std::uint64_t Fence, std::uint64_t CurrentFence, time_point Now);
/// Ends a use. Precondition: it began.
void endUse(pin_cache &Cache, placement Placement, time_point Now);

/// Drops pins that are unused and recalled, or unused for \p Retention.
void dropUnused(pin_cache &Cache, milliseconds Retention, time_point Now);
/// Tells whether the owner of \p Engine needs a sync.
bool needsSync(const pin_cache &Cache, const fenced_engine &Engine,
               time_point Now);
/// Composes a sync that speaks for \p Engines.
pin_sync composeSync(pin_cache &Cache, std::span<const fenced_engine> Engines);
/// Notes that the owner has taken in \p Sync for \p Engine.
void noteAcknowledged(pin_cache &Cache, const pin_sync &Sync,
                      const fenced_engine &Engine, time_point Now);
/// Notes that the owner refused a pin or asks it back.
void noteRecalled(pin_cache &Cache, placement Placement);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_PIN_CACHE_H
