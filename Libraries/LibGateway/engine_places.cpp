#include "LibGateway/engine_places.h"

#include <algorithm>
#include <cmath>

namespace spindle {

static constexpr std::chrono::duration<double> UseHalfLife{6.0};
// Those who wait for a load ask again within this.
static constexpr milliseconds HoldAfterLoad{300};

static double usesNow(const adapter_place &Place, time_point Now) {
  const std::chrono::duration<double> Since = Now - Place.LastUsed;
  return Place.Uses * std::exp2(-Since / UseHalfLife);
}

static void noteUse(adapter_place &Place, time_point Now) {
  Place.Uses = usesNow(Place, Now) + 1;
  Place.LastUsed = Now;
}

static adapter_place *find(engine_places &Engine, const adapter_name &Name) {
  for (adapter_place &Place : Engine.Places)
    if (Place.Adapter.Name == Name)
      return &Place;
  return nullptr;
}

const adapter_place *findPlace(const engine_places &Engine,
                               const adapter_name &Name) {
  return find(const_cast<engine_places &>(Engine), Name);
}

static bool isTaken(const adapter_place &Place, time_point Now) {
  return Place.State != place_state::Loaded || Place.HeldUntil > Now ||
         Place.InUse;
}

/// The adapter that is asked for least among those that nobody holds.
static const adapter_place *chooseVictim(const engine_places &Engine,
                                         time_point Now) {
  const adapter_place *Victim = nullptr;
  for (const adapter_place &Place : Engine.Places) {
    if (isTaken(Place, Now))
      continue;
    if (!Victim || usesNow(Place, Now) < usesNow(*Victim, Now))
      Victim = &Place;
  }
  return Victim;
}

static hold_plan planPresent(adapter_place &Place,
                             const versioned_adapter &Wanted, time_point Now) {
  if (Place.State != place_state::Loaded)
    return {hold_action::Wait, std::nullopt};
  if (Place.Adapter.Version < Wanted.Version)
    return {hold_action::Load, std::nullopt};
  noteUse(Place, Now);
  Place.HeldUntil = std::max(Place.HeldUntil, Now + HoldTerm);
  return {hold_action::Held, std::nullopt};
}

static std::size_t countIn(const engine_places &Engine, place_state State) {
  return static_cast<std::size_t>(std::count_if(
      Engine.Places.begin(), Engine.Places.end(),
      [State](const adapter_place &Place) { return Place.State == State; }));
}

hold_plan planHold(engine_places &Engine, const versioned_adapter &Wanted,
                   time_point Now) {
  if (adapter_place *const Place = find(Engine, Wanted.Name))
    return planPresent(*Place, Wanted, Now);
  if (countIn(Engine, place_state::Loading) >= MostLoadsAtOnce)
    return {};
  if (Engine.Places.size() < Engine.Capacity)
    return {hold_action::Load, std::nullopt};
  // The place that becomes free is enough for whoever goes first.
  if (countIn(Engine, place_state::Unloading) > 0)
    return {};
  if (const adapter_place *const Victim = chooseVictim(Engine, Now))
    return {hold_action::Unload, Victim->Adapter, usesNow(*Victim, Now)};
  return {};
}

void noteLoading(engine_places &Engine, const versioned_adapter &Adapter,
                 time_point Now) {
  adapter_place *Place = find(Engine, Adapter.Name);
  if (!Place) {
    Engine.Places.push_back({});
    Place = &Engine.Places.back();
    Place->LastUsed = Now;
    Place->Uses = 1;
  }
  if (Place->State == place_state::Loaded)
    Place->Replaces = Place->Adapter.Version;
  Place->Adapter = Adapter;
  Place->State = place_state::Loading;
  Place->Ordered = true;
}

void noteLoaded(engine_places &Engine, const versioned_adapter &Adapter,
                time_point Now) {
  adapter_place *const Place = find(Engine, Adapter.Name);
  if (!Place)
    return;
  Place->Adapter = Adapter;
  Place->State = place_state::Loaded;
  Place->Ordered = false;
  Place->Replaces.reset();
  Place->HeldUntil = std::max(Place->HeldUntil, Now + HoldAfterLoad);
}

void noteUnloading(engine_places &Engine, const adapter_name &Name) {
  adapter_place *const Place = find(Engine, Name);
  if (!Place)
    return;
  Place->State = place_state::Unloading;
  Place->Ordered = true;
}

void setInUse(engine_places &Engine, const std::set<adapter_name> &Names) {
  for (adapter_place &Place : Engine.Places)
    Place.InUse = Names.contains(Place.Adapter.Name);
}

void noteGone(engine_places &Engine, const adapter_name &Name) {
  std::erase_if(Engine.Places, [&Name](const adapter_place &Place) {
    return Place.Adapter.Name == Name;
  });
}

void noteFailed(engine_places &Engine, const adapter_name &Name) {
  adapter_place *const Place = find(Engine, Name);
  if (!Place)
    return;
  if (!Place->Replaces) {
    noteGone(Engine, Name);
    return;
  }
  Place->Adapter.Version = *Place->Replaces;
  Place->Replaces.reset();
  Place->State = place_state::Loaded;
  Place->Ordered = false;
}

void noteUnsettled(engine_places &Engine, const adapter_name &Name) {
  if (adapter_place *const Place = find(Engine, Name))
    Place->Ordered = false;
}

std::size_t roomOf(const engine_places &Engine, time_point Now) {
  const std::size_t Taken = static_cast<std::size_t>(std::count_if(
      Engine.Places.begin(), Engine.Places.end(),
      [Now](const adapter_place &Place) { return isTaken(Place, Now); }));
  return Engine.Capacity > Taken ? Engine.Capacity - Taken : 0;
}

static bool contains(const std::vector<versioned_adapter> &Adapters,
                     const adapter_name &Name) {
  return std::any_of(Adapters.begin(), Adapters.end(),
                     [&Name](const versioned_adapter &Adapter) {
                       return Adapter.Name == Name;
                     });
}

static void takeOver(engine_places &Engine, const versioned_adapter &Adapter,
                     place_state State, time_point Now) {
  adapter_place *Place = find(Engine, Adapter.Name);
  if (Place && Place->Ordered)
    return;
  if (!Place) {
    Engine.Places.push_back({});
    Place = &Engine.Places.back();
    Place->LastUsed = Now;
  }
  Place->Adapter = Adapter;
  Place->State = State;
}

void reconcile(engine_places &Engine,
               const std::vector<versioned_adapter> &Loaded,
               const std::vector<versioned_adapter> &Loading, time_point Now) {
  std::erase_if(Engine.Places, [&](const adapter_place &Place) {
    return !Place.Ordered && !contains(Loaded, Place.Adapter.Name) &&
           !contains(Loading, Place.Adapter.Name);
  });
  for (const versioned_adapter &Adapter : Loading)
    takeOver(Engine, Adapter, place_state::Loading, Now);
  for (const versioned_adapter &Adapter : Loaded)
    if (!contains(Loading, Adapter.Name))
      takeOver(Engine, Adapter, place_state::Loaded, Now);
}

} // namespace spindle
