#include "LibGateway/work_placer.h"

#include "LibGateway/placement_planner.h"
#include "LibGateway/prompt_queue_position.h"
#include "LibGateway/work_reservation.h"

#include <algorithm>

namespace spindle {

work_placer::work_placer(const runtime_clock &Clock, fleet_table &Fleet,
                         adapter_controller &Controller, std::string Zone,
                         capacity_port Capacity)
    : Clock(Clock), Fleet(Fleet), Controller(Controller), Zone(std::move(Zone)),
      Capacity(std::move(Capacity)) {}

std::optional<placement_plan> work_placer::plan(const work_request &Request) {
  const zone_view View =
      viewZone(Fleet, Controller, Zone, Capacity(Request.Service), Request);
  return planPlacement(Work, Fleet, View, Request, Clock.now());
}

/// Holds the adapter on one of the planned engines.
std::optional<adapter_location>
work_placer::holdAdapter(const work_request &Request,
                         const placement_plan &Plan, time_point Until) {
  const versioned_adapter Wanted{
      {Request.Description.Model, Request.Description.Adapter},
      Request.AdapterVersion};
  const upstream_id Best = Plan.Engines.front().Id;
  if (Plan.IsAdapterReady)
    if (const std::optional<std::uint64_t> Version =
            Controller.holdLoaded(Best, Wanted))
      return adapter_location{Best, {Wanted.Name, *Version}};
  slot_request Slot = Request.Slot;
  Slot.SharesGrants = true;
  for (const planned_engine &Engine : Plan.Engines)
    Slot.Engines.push_back(Engine.Id);
  return Controller.hold(Wanted, Slot, Until);
}

/// Reserves room on an engine other than the best, as the adapter was loaded
/// there first. Returns whether it has room.
bool work_placer::reserveAlternative(const work_request &Request,
                                     const placement_plan &Plan,
                                     upstream_id Engine) {
  const auto Planned = std::find_if(
      Plan.Engines.begin(), Plan.Engines.end(),
      [Engine](const planned_engine &Each) { return Each.Id == Engine; });
  if (Planned == Plan.Engines.end())
    return false;
  work_reservation Reserved(Clock, Work, *Planned, Request.Query,
                            Plan.Best.Work, nanoseconds(0));
  Reserved.keep();
  return Reserved.isTaken();
}

/// Records that the engine will have the request's prompt in its memory.
void work_placer::notePrompt(const work_request &Request, upstream_id Engine) {
  const std::lock_guard<std::mutex> Lock(Work.Mutex);
  if (engine_placements *const Found = findPlacements(Work, Engine))
    Found->Prompts.note(Request.Description);
}

/// Returns none if the adapter is not held in time, or if the room is gone.
std::optional<placed_engine> work_placer::carryOut(const work_request &Request,
                                                   const placement_plan &Plan,
                                                   time_point Until) {
  const planned_engine &Best = Plan.Engines.front();
  work_reservation Reserved(Clock, Work, Best, Request.Query, Plan.Best.Work,
                            Plan.Best.Loading);
  if (!Reserved.isTaken())
    return std::nullopt;
  placed_engine Placed;
  Placed.Engine = Best.Id;
  if (!Request.Description.Adapter.empty()) {
    const std::optional<adapter_location> Location =
        holdAdapter(Request, Plan, Until);
    if (!Location)
      return std::nullopt;
    Placed.Engine = Location->Engine;
    Placed.Version = Location->Adapter.Version;
  }
  if (Placed.Engine == Best.Id)
    Reserved.keep();
  else if (!reserveAlternative(Request, Plan, Placed.Engine))
    return std::nullopt;
  if (Placed.Engine == Best.Id && Plan.Best.Loading == nanoseconds(0))
    Placed.UsualReading = Plan.UsualReading;
  notePrompt(Request, Placed.Engine);
  return Placed;
}

std::optional<placed_engine> work_placer::place(const work_request &Request,
                                                time_point Until) {
  Until = std::min(Until, Request.Slot.UsefulUntil);
  prompt_queue_position Position(Clock, Work, Request);
  while (true) {
    const std::optional<placement_plan> Plan = plan(Request);
    if (Plan && Position.mayProceed(*Plan))
      if (std::optional<placed_engine> Placed = carryOut(Request, *Plan, Until))
        return Placed;
    if (Clock.now() >= Until)
      return std::nullopt;
    Position.wait();
  }
}

std::size_t work_placer::waitingRequests() const {
  const std::lock_guard<std::mutex> Lock(Work.Mutex);
  return Work.Queue.Waiting.size();
}

std::size_t work_placer::placedRequests() const {
  const std::lock_guard<std::mutex> Lock(Work.Mutex);
  return countPlacedRequests(Work, Clock.now());
}

} // namespace spindle
