#ifndef PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_REPORT_H
#define PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_REPORT_H

#include "placement_fleet.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// What the owner of an engine reports of it to all hosts.
struct placement_report {
  std::size_t Engine = 0;
  time_point Taken;
  std::vector<engine_slot> Occupied;
  /// The adapters in the report before.
  std::vector<adapter_id> Before;
  slot_availability Available;
  double LoadWaitMilliseconds = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// Takes the report of an engine and records which adapters are in it.
placement_report takeReport(placement_fleet &Fleet, std::size_t Engine,
                            time_point Now);
/// Applies a report at a host.
void applyReport(routing_table &Table, const placement_report &Report);

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_REPORT_H
