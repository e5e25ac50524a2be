#ifndef PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H
#define PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <unordered_map>

namespace spindle {

/// How often an adapter was asked for, with exponential decay.
struct demand_count {
  double Uses = 0;
  time_point Updated;
};

/// Exact decayed counts of the adapters asked for lately.
struct demand_table {
  milliseconds HalfLife{120'000};
  std::unordered_map<adapter_id, demand_count> Counts;
  time_point Pruned;
};

/// Adds \p Uses of \p Adapter. Forgets, now and then, adapters whose count has
/// decayed to nothing. Not thread-safe.
void noteDemand(demand_table &Table, adapter_id Adapter, double Uses,
                time_point Now);
/// Returns the decayed count of \p Adapter. Not thread-safe.
double demandOf(const demand_table &Table, adapter_id Adapter, time_point Now);
/// Returns the estimated uses of \p Adapter a second. Not thread-safe.
double demandPerSecond(const demand_table &Table, adapter_id Adapter,
                       time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H
