#include "LibFleetModel/zone_model.h"

#include "LibCore/result_code.h"

#include <algorithm>

namespace spindle {

// An order and its response within a zone.
static constexpr milliseconds OrderTime{2};

zone_model::zone_model(const model_fleet &Fleet, const runtime_clock &Clock,
                       weight_store_model &Store, model_timer Timer)
    : Fleet(Fleet), Clock(Clock), Store(Store), Timer(std::move(Timer)) {}

void zone_model::addEngine(upstream_id Engine) {
  Engines[Engine].Slots.Capacity = Fleet.AdapterPlaces;
}

void zone_model::clearEngine(upstream_id Engine) {
  zone_engine &Cleared = Engines.at(Engine);
  const std::uint64_t Incarnation = Cleared.Incarnation + 1;
  Cleared = {};
  Cleared.Slots.Capacity = Fleet.AdapterPlaces;
  Cleared.Incarnation = Incarnation;
}

milliseconds zone_model::loadTime(zone_engine &Engine,
                                  const adapter_name &Adapter, bool &IsFetch) {
  const auto Copy =
      std::find(Engine.Copies.begin(), Engine.Copies.end(), Adapter);
  IsFetch = Copy == Engine.Copies.end();
  if (!IsFetch) {
    Engine.Copies.splice(Engine.Copies.end(), Engine.Copies, Copy);
    ++Store.CopiesLoaded;
    return Fleet.CopyTime;
  }
  Engine.Copies.push_back(Adapter);
  if (Engine.Copies.size() > Fleet.Copies)
    Engine.Copies.pop_front();
  ++Store.Fetches;
  ++Store.Fetching;
  const double Slower =
      std::max(1.0, static_cast<double>(Store.Fetching) /
                        static_cast<double>(Fleet.FetchesAtFullSpeed));
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Fleet.FetchTime.count()) * Slower));
}

void zone_model::startLoad(upstream_id Id, const adapter_name &Adapter) {
  zone_engine &Engine = Engines.at(Id);
  noteLoading(Engine.Slots, {Adapter, 1}, Clock.now());
  bool IsFetch = false;
  const milliseconds LoadTime = loadTime(Engine, Adapter, IsFetch);
  Timer(Clock.now() + OrderTime + LoadTime,
        [this, Id, Adapter, IsFetch, Incarnation = Engine.Incarnation] {
          if (IsFetch)
            --Store.Fetching;
          zone_engine &Loaded = Engines.at(Id);
          if (Loaded.Incarnation == Incarnation)
            noteLoaded(Loaded.Slots, {Adapter, 1}, Clock.now());
        });
}

void zone_model::startUnload(upstream_id Id, const adapter_name &Adapter) {
  zone_engine &Engine = Engines.at(Id);
  noteUnloading(Engine.Slots, Adapter);
  Timer(Clock.now() + OrderTime,
        [this, Id, Adapter, Incarnation = Engine.Incarnation] {
          zone_engine &Unloaded = Engines.at(Id);
          if (Unloaded.Incarnation == Incarnation)
            noteUnloaded(Unloaded.Slots, Adapter);
        });
}

std::optional<upstream_id> zone_model::tryHold(const adapter_name &Adapter,
                                               const slot_request &Request,
                                               std::uint64_t &Ticket) {
  const time_point Now = Clock.now();
  std::vector<placement_candidate> Candidates;
  for (const upstream_id Id : Request.Engines) {
    zone_engine &Engine = Engines.at(Id);
    const bool HadBefore = std::find(Engine.Copies.begin(), Engine.Copies.end(),
                                     Adapter) != Engine.Copies.end();
    Candidates.push_back({Id, &Engine.Slots, true, HadBefore});
  }
  const placement_decision Decision =
      decidePlacement(Candidates, {Adapter, 0}, Queue, Now);
  const upstream_id Engine = Candidates[Decision.Engine].Id;
  switch (Decision.Step) {
  case placement_step::Held:
    return Engine;
  case placement_step::LoadInProgress:
    leave(Adapter, Ticket);
    break;
  case placement_step::Load:
    if (Ticket != 0)
      noteGrant(Queue, Now);
    leave(Adapter, Ticket);
    startLoad(Engine, Adapter);
    break;
  case placement_step::Unload:
    startUnload(Engine, Decision.Victim->Name);
    [[fallthrough]];
  case placement_step::Queue:
  case placement_step::Unresponsive: {
    if (Ticket != 0)
      break;
    const std::optional<nanoseconds> Wait =
        expectedWait(Queue, Adapter, Request, Now);
    if (Wait && Now + *Wait > Request.UsefulUntil)
      throw spindle_error(result_code::AdapterNotLoaded,
                          "the turn would come too late");
    Ticket = enterQueue(Queue, Adapter, Request);
    break;
  }
  }
  return std::nullopt;
}

void zone_model::leave(const adapter_name &Adapter, std::uint64_t &Ticket) {
  if (Ticket != 0)
    leaveQueue(Queue, Adapter, Ticket);
  Ticket = 0;
}

void zone_model::setInUse(std::span<const adapter_use> Uses) {
  std::map<upstream_id, std::set<adapter_name>> ByEngine;
  for (const adapter_use &Use : Uses)
    ByEngine[Use.Engine].insert(Use.Adapter);
  for (auto &[Id, Engine] : Engines)
    spindle::setInUse(Engine.Slots, ByEngine[Id]);
}

std::vector<available_slots> zone_model::availableSlots() const {
  std::vector<available_slots> Available;
  for (const auto &[Id, Engine] : Engines)
    Available.push_back(
        {Id, spindle::availableSlots(Engine.Slots, Clock.now())});
  return Available;
}

std::vector<versioned_adapter> zone_model::loadedAt(upstream_id Engine) const {
  std::vector<versioned_adapter> Loaded;
  for (const adapter_slot &Slot : Engines.at(Engine).Slots.Slots)
    if (Slot.State == adapter_slot_state::Loaded)
      Loaded.push_back(Slot.Adapter);
  return Loaded;
}

} // namespace spindle
