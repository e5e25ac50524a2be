#include "LibResidency/pin_cache.h"

#include <algorithm>
#include <cassert>

namespace spindle {

static bool isUsable(const cached_pin &Pin) {
  return Pin.Held && !Pin.Recalled;
}

static void beginUse(cached_pin &Pin, time_point Now) {
  ++Pin.Uses;
  ++Pin.UsesSinceSync;
  Pin.LastUsed = Now;
}

/// Marks the pins on \p Engine as changed, so that its owner gets a sync.
static void markChanged(pin_cache &Cache, upstream_id Engine) {
  Cache.Acknowledged[Engine].LastChange = Cache.LastSequence + 1;
}

bool beginCachedUse(pin_cache &Cache, placement Placement, time_point Now) {
  const auto Found = Cache.Pins.find(Placement);
  if (Found == Cache.Pins.end() || !isUsable(Found->second))
    return false;
  beginUse(Found->second, Now);
  return true;
}

std::uint64_t beginPinRequest(pin_cache &Cache, placement Placement) {
  ++Cache.Pins[Placement].PendingRequests;
  return ++Cache.LastSequence;
}

bool endPinRequest(pin_cache &Cache, placement Placement, bool Granted,
                   std::uint64_t Fence, std::uint64_t CurrentFence,
                   time_point Now) {
  cached_pin &Pin = Cache.Pins[Placement];
  assert(Pin.PendingRequests > 0 && "beginPinRequest() was called");
  --Pin.PendingRequests;
  markChanged(Cache, Placement.Engine);
  if (!Granted || Fence < CurrentFence)
    return false;
  Pin.Held = true;
  Pin.Recalled = false;
  Pin.Fence = std::max(Pin.Fence, Fence);
  beginUse(Pin, Now);
  return true;
}

void endUse(pin_cache &Cache, placement Placement, time_point Now) {
  const auto Found = Cache.Pins.find(Placement);
  assert(Found != Cache.Pins.end() && Found->second.Uses > 0 &&
         "the use began");
  --Found->second.Uses;
  Found->second.LastUsed = Now;
}

void dropUnusedPins(pin_cache &Cache, milliseconds Retention, time_point Now) {
  for (auto Entry = Cache.Pins.begin(); Entry != Cache.Pins.end();) {
    const cached_pin &Pin = Entry->second;
    const bool Idle = Pin.Uses == 0 && Pin.PendingRequests == 0;
    const bool Wanted = isUsable(Pin) && Now - Pin.LastUsed < Retention;
    if (!Idle || Wanted) {
      ++Entry;
      continue;
    }
    markChanged(Cache, Entry->first.Engine);
    Entry = Cache.Pins.erase(Entry);
  }
}

static std::map<placement, cached_pin>::const_iterator
firstPin(const pin_cache &Cache, upstream_id Engine) {
  return Cache.Pins.lower_bound({Engine, adapter_id{}});
}

bool needsSync(const pin_cache &Cache, const fenced_engine &Engine,
               time_point Now) {
  const auto LastSync = Cache.Acknowledged.find(Engine.Engine);
  if (LastSync == Cache.Acknowledged.end() ||
      LastSync->second.Fence != Engine.Fence ||
      LastSync->second.Sequence < LastSync->second.LastChange ||
      Now - LastSync->second.Time >= ResyncInterval)
    return true;
  const auto Pin = firstPin(Cache, Engine.Engine);
  return Pin != Cache.Pins.end() && Pin->first.Engine == Engine.Engine;
}

pin_sync composeSync(pin_cache &Cache, std::span<const fenced_engine> Engines) {
  pin_sync Sync;
  Sync.Sequence = ++Cache.LastSequence;
  Sync.Engines.assign(Engines.begin(), Engines.end());
  for (const fenced_engine &Named : Engines)
    for (auto Pin = firstPin(Cache, Named.Engine);
         Pin != Cache.Pins.end() && Pin->first.Engine == Named.Engine; ++Pin)
      Sync.Pins.push_back({Pin->first, Pin->second.UsesSinceSync});
  return Sync;
}

void noteSyncAcknowledged(pin_cache &Cache, const pin_sync &Sync,
                          const fenced_engine &Engine, time_point Now) {
  acknowledged_sync &LastSync = Cache.Acknowledged[Engine.Engine];
  LastSync.Fence = Engine.Fence;
  LastSync.Time = Now;
  LastSync.Sequence = std::max(LastSync.Sequence, Sync.Sequence);
  for (const synced_pin &Pin : Sync.Pins) {
    if (Pin.Placement.Engine != Engine.Engine)
      continue;
    const auto Found = Cache.Pins.find(Pin.Placement);
    if (Found != Cache.Pins.end())
      Found->second.UsesSinceSync -=
          std::min(Found->second.UsesSinceSync, Pin.UsesSinceSync);
  }
}

void notePinRecalled(pin_cache &Cache, placement Placement) {
  const auto Found = Cache.Pins.find(Placement);
  if (Found != Cache.Pins.end())
    Found->second.Recalled = true;
}

} // namespace spindle
