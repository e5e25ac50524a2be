#include "placement_report.h"

namespace spindle {

/// Whether hosts may send requests for the slot's adapter to the engine.
static bool isReported(const engine_slot &Slot) {
  return isServing(Slot) || Slot.State == slot_state::Loading;
}

placement_report takeReport(placement_fleet &Fleet, std::size_t Index,
                            time_point Now) {
  const residency_owner &Owner = Fleet.Hosts[Fleet.ownerOf(Index)].Owner;
  const engine_slots &Slots = Fleet.slotsOf(Index);
  placement_engine &Engine = Fleet.Engines[Index];
  placement_report Report;
  Report.Engine = Index;
  Report.Taken = Now;
  Report.Occupied = Slots.Occupied;
  Report.Before = std::move(Engine.Reported);
  Engine.Reported.clear();
  for (const engine_slot &Slot : Slots.Occupied)
    if (isReported(Slot))
      Engine.Reported.push_back(Slot.Adapter);
  Report.Available = slotAvailability(Owner, Slots, Fleet.Holders, Now);
  Report.LoadWaitMilliseconds = expectedLoadWait(Owner.LoadWait, Now);
  Report.Running = Engine.Running;
  Report.Waiting = static_cast<std::uint32_t>(Engine.Waiting.size());
  return Report;
}

void applyReport(routing_table &Table, const placement_report &Report) {
  const engine_index Index = static_cast<engine_index>(Report.Engine);
  routed_engine &Engine = Table.Engines[Report.Engine];
  noteReport(Engine.Load, Report.Running, Report.Waiting, Report.Taken);
  Engine.EvictableSlots = Report.Available.Evictable;
  Engine.VictimUsesPerSecond = Report.Available.VictimUsesPerSecond;
  Engine.LoadWaitMilliseconds = Report.LoadWaitMilliseconds;
  for (const adapter_id Adapter : Report.Before)
    eraseSite(Table, Adapter, Index);
  for (const engine_slot &Slot : Report.Occupied)
    if (isReported(Slot))
      setSite(Table, Slot.Adapter, Index,
              isServing(Slot) ? adapter_presence::Resident
                              : adapter_presence::Loading);
}

} // namespace spindle
