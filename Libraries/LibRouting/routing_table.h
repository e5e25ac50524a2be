#ifndef PARSLEYSPINDLE_LIBROUTING_ROUTING_TABLE_H
#define PARSLEYSPINDLE_LIBROUTING_ROUTING_TABLE_H

#include "LibCore/strong_id.h"
#include "LibRouting/engine_load.h"
#include "LibRouting/prefix_table.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace spindle {

/// The index of an engine in routing_table::Engines.
using engine_index = std::uint32_t;
inline constexpr engine_index NoEngine = ~engine_index{0};

/// The state of one engine as known to routing.
struct routed_engine {
  upstream_id Id;
  engine_load Load;
  /// The network round trip from this host, plus a penalty for another zone.
  double DistanceMilliseconds = 0;
  /// How long recent requests waited for an adapter load there.
  double LoadWaitMilliseconds = 250;
  /// Adapter slots that are free or could be freed now.
  std::uint32_t EvictableSlots = 1;
  /// The request rate of the adapter that a load would evict.
  double VictimUsesPerSecond = 0;
  /// From 0 (must not be used) to 1 (healthy).
  double Health = 1;
  bool Draining = false;
};

enum class adapter_presence : std::uint8_t {
  /// This host has requested a load there that has not started.
  Requested,
  Loading,
  Resident
};

struct adapter_site {
  engine_index Engine = NoEngine;
  adapter_presence Presence = adapter_presence::Resident;
};

/// The engines of one base model, and for each bucket of adapters those that
/// weighted rendezvous hashing ranks first.
struct model_engines {
  static constexpr std::size_t Buckets = 4'096;
  static constexpr std::size_t Ranks = 3;
  std::vector<engine_index> Engines;
  std::vector<std::array<engine_index, Ranks>> Preferred;
};

/// The data from which an engine is chosen.
struct routing_table {
  std::vector<routed_engine> Engines;
  std::unordered_map<upstream_id, engine_index> Index;
  std::unordered_map<std::string, model_engines> Models;
  std::unordered_map<adapter_id, std::vector<adapter_site>> Sites;
  prefix_table Prefixes;
  /// How long a load takes when no other waits.
  double LoadMilliseconds = 250;
  /// The load rate that the weight store allows to the whole fleet.
  double LoadsPerSecond = 2;
  /// The time to refill all adapter slots at the full load rate.
  double TurnoverSeconds = 60;
  /// Prefill time that a cached prompt token saves.
  double PrefillMillisecondsPerToken = 0.2;
};

/// The functions below are not thread-safe: the caller holds the table's lock.

/// Ranks the engines of a model for every bucket by weighted rendezvous
/// hashing, an engine's weight being its slots.
void rankEngines(const routing_table &Table, model_engines &Model,
                 std::span<const std::uint32_t> Slots);
/// The engines that the adapter's hash ranks first, best first.
std::span<const engine_index> preferredEngines(const model_engines &Model,
                                               adapter_id Adapter);
/// Records that an adapter is resident at an engine, or the state of its load.
void setSite(routing_table &Table, adapter_id Adapter, engine_index Engine,
             adapter_presence Presence);
/// Records that an adapter is not resident at an engine and that no load of it
/// is requested or running there.
void eraseSite(routing_table &Table, adapter_id Adapter, engine_index Engine);
std::span<const adapter_site> sitesOf(const routing_table &Table,
                                      adapter_id Adapter);
/// The state of \p Adapter at \p Engine; none if it is not resident and no load
/// of it is requested or running there.
std::optional<adapter_presence>
presenceAt(const routing_table &Table, adapter_id Adapter, engine_index Engine);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ROUTING_TABLE_H
