#include "LibGateway/work_reservation.h"

namespace spindle {

work_reservation::work_reservation(const runtime_clock &Clock, zone_work &Zone,
                                   const planned_engine &Engine,
                                   const placement_query &Query,
                                   const request_work &Work, nanoseconds Delay)
    : Clock(Clock), Zone(Zone), Engine(Engine.Id) {
  const std::lock_guard<std::mutex> Lock(Zone.Mutex);
  engine_placements *const Found = findPlacements(Zone, Engine.Id);
  if (!Found)
    return;
  engine_candidate Room = Engine.Candidate;
  Room.Work = &Found->Work;
  if (!hasRoom(Room, Query))
    return;
  // Tickets are not used twice, also not by an engine that begins anew.
  Found->Work.LastTicket = Zone.LastTicket;
  Ticket = addWork(Found->Work, Work, Clock.now(), Delay);
  Zone.LastTicket = Ticket;
}

work_reservation::~work_reservation() {
  if (IsKept || !isTaken())
    return;
  const std::lock_guard<std::mutex> Lock(Zone.Mutex);
  if (engine_placements *const Found = findPlacements(Zone, Engine))
    cancelWork(Found->Work, Ticket, Clock.now());
}

} // namespace spindle
