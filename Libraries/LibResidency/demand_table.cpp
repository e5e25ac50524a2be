#include "LibResidency/demand_table.h"

#include <cmath>
#include <numbers>

namespace spindle {

/// Counts below this are erased.
static constexpr double NegligibleUses = 0.02;

static double decayedUses(const demand_table &Table, const demand_count &Count,
                          time_point Now) {
  if (Now <= Count.Updated)
    return Count.Uses;
  const std::chrono::duration<double> Passed = Now - Count.Updated;
  const std::chrono::duration<double> HalfLife = Table.HalfLife;
  return Count.Uses * std::exp2(-Passed / HalfLife);
}

static void prune(demand_table &Table, time_point Now) {
  Table.LastPruned = Now;
  std::erase_if(
      Table.Counts,
      [&Table, Now](const std::pair<const adapter_id, demand_count> &Entry) {
        return decayedUses(Table, Entry.second, Now) < NegligibleUses;
      });
}

void noteDemand(demand_table &Table, adapter_id Adapter, double Uses,
                time_point Now) {
  if (Now - Table.LastPruned > Table.HalfLife)
    prune(Table, Now);
  demand_count &Count = Table.Counts[Adapter];
  Count.Uses = decayedUses(Table, Count, Now) + Uses;
  Count.Updated = Now;
}

double demandOf(const demand_table &Table, adapter_id Adapter, time_point Now) {
  const auto Found = Table.Counts.find(Adapter);
  if (Found == Table.Counts.end())
    return 0;
  return decayedUses(Table, Found->second, Now);
}

double demandPerSecond(const demand_table &Table, adapter_id Adapter,
                       time_point Now) {
  const std::chrono::duration<double> HalfLife = Table.HalfLife;
  return demandOf(Table, Adapter, Now) * std::numbers::ln2 / HalfLife.count();
}

} // namespace spindle
