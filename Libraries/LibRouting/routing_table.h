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

/// The place of an engine in a routing_table.
using engine_index = std::uint32_t;
inline constexpr engine_index NoEngine = ~engine_index{0};

/// What routing knows of one engine.
struct routed_engine {
  upstream_id Id;
  engine_load Load;
  /// The network's round trip from this host, and what leaving the own zone
  /// costs beside it.
  double DistanceMilliseconds = 0;
  /// How long requests waited lately for a load there.
  double LoadWaitMilliseconds = 250;
  /// Slots that are free or could be freed now.
  std::uint32_t EvictableSlots = 1;
  /// How often the adapter is asked for that a load would evict.
  double VictimUsesPerSecond = 0;
  /// From 0, take nothing, to 1, healthy.
  double Health = 1;
  bool Leaving = false;
};

enum class adapter_presence : std::uint8_t {
  /// This host has asked for a load there that has not begun.
  Asked,
  Loading,
  Resident
};

struct adapter_site {
  engine_index Engine = NoEngine;
  adapter_presence Presence = adapter_presence::Resident;
};

/// The engines of one base model, and for each bucket of adapters the ones
/// that weighted rendezvous hashing ranks first.
struct model_engines {
  static constexpr std::size_t Buckets = 4'096;
  static constexpr std::size_t Ranks = 3;
  std::vector<engine_index> Engines;
  std::vector<std::array<engine_index, Ranks>> Preferred;
};

/// What the choice of an engine is made from.
struct routing_table {
  std::vector<routed_engine> Engines;
  std::unordered_map<upstream_id, engine_index> Index;
  std::unordered_map<std::string, model_engines> Models;
  std::unordered_map<adapter_id, std::vector<adapter_site>> Sites;
  prefix_table Prefixes;
  /// How long one load takes when no other waits.
  double LoadMilliseconds = 250;
  /// How many loads the weight store allows to the fleet.
  double LoadsPerSecond = 2;
  /// In which time all slots would be filled anew if loads never paused.
  double TurnoverSeconds = 60;
  /// Prefill time that a cached prompt token saves.
  double PrefillMillisecondsPerToken = 0.2;
};

/// The functions below are not thread-safe: the caller holds the table's lock.

/// Ranks the engines of a model for every bucket by weighted rendezvous
/// hashing, an engine's weight being its slots.
void rankEngines(const routing_table &Table, model_engines &Model,
                 std::span<const std::uint32_t> Slots);
/// The engines that an adapter's hash prefers, best first.
std::span<const engine_index> preferredEngines(const model_engines &Model,
                                               adapter_id Adapter);
/// Records that an adapter is at an engine, or how far its load is.
void setSite(routing_table &Table, adapter_id Adapter, engine_index Engine,
             adapter_presence Presence);
/// Records that an adapter is not at an engine.
void eraseSite(routing_table &Table, adapter_id Adapter, engine_index Engine);
std::span<const adapter_site> sitesOf(const routing_table &Table,
                                      adapter_id Adapter);
/// Where \p Adapter is at \p Engine, or none.
std::optional<adapter_presence>
presenceAt(const routing_table &Table, adapter_id Adapter, engine_index Engine);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ROUTING_TABLE_H
