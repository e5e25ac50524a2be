#ifndef PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H
#define PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <unordered_map>

namespace spindle {

/// The number of requests for an adapter, with exponential decay.
struct demand_count {
  double Uses = 0;
  time_point Updated;
};

/// Exact decayed request counts of the recently requested adapters.
struct demand_table {
  milliseconds HalfLife{120'000};
  std::unordered_map<adapter_id, demand_count> Counts;
  time_point LastPruned;
};

/// Adds \p Uses of \p Adapter. Once per half-life, also erases adapters whose
/// count has decayed to a negligible value. Not thread-safe.
void noteDemand(demand_table &Table, adapter_id Adapter, double Uses,
                time_point Now);
/// Returns the decayed count of \p Adapter. Not thread-safe.
double demandOf(const demand_table &Table, adapter_id Adapter, time_point Now);
/// Returns the estimated uses of \p Adapter per second. Not thread-safe.
double demandPerSecond(const demand_table &Table, adapter_id Adapter,
                       time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_DEMAND_TABLE_H
