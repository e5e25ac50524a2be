#include "LibGateway/adapter_slots.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

versioned_adapter adapter(int Number, std::uint64_t Version = 0) {
  return {{"m", "a" + std::to_string(Number)}, Version};
}

adapter_slots full(std::size_t Capacity, time_point Now) {
  adapter_slots Engine;
  Engine.Capacity = Capacity;
  for (std::size_t Number = 0; Number < Capacity; ++Number) {
    noteLoading(Engine, adapter(static_cast<int>(Number)), Now);
    noteLoaded(Engine, adapter(static_cast<int>(Number)), Now);
  }
  return Engine;
}

std::size_t countLoading(const adapter_slots &Engine) {
  return static_cast<std::size_t>(std::count_if(
      Engine.Slots.begin(), Engine.Slots.end(), [](const adapter_slot &Slot) {
        return Slot.State == adapter_slot_state::Loading;
      }));
}

const time_point Start{seconds(100)};

} // namespace

TEST_CASE("an adapter that is held or in use is not evicted") {
  adapter_slots Engine = full(2, Start);
  const time_point Later = Start + seconds(5);
  REQUIRE(planHold(Engine, adapter(0), Later).Action == hold_action::Held);
  const hold_plan Plan = planHold(Engine, adapter(7), Later);
  REQUIRE(Plan.Action == hold_action::Unload);
  REQUIRE(Plan.Victim->Name == adapter(1).Name);

  setInUse(Engine, {adapter(1).Name});
  REQUIRE(planHold(Engine, adapter(7), Later).Action ==
          hold_action::NoSlotAvailable);
  setInUse(Engine, {});
  REQUIRE(planHold(Engine, adapter(7), Later).Action == hold_action::Unload);
}

TEST_CASE("polling for a load does not count as use of the adapter") {
  adapter_slots Engine = full(2, Start);
  time_point Now = Start + seconds(1);
  for (int Use = 0; Use < 5; ++Use)
    REQUIRE(planHold(Engine, adapter(0), Now).Action == hold_action::Held);
  noteUnloaded(Engine, adapter(1).Name);
  noteLoading(Engine, adapter(8), Now);
  for (int Poll = 0; Poll < 50; ++Poll) {
    REQUIRE(planHold(Engine, adapter(8), Now).Action == hold_action::Wait);
    Now += milliseconds(5);
  }
  noteLoaded(Engine, adapter(8), Now);
  Now += seconds(2);
  REQUIRE(planHold(Engine, adapter(7), Now).Victim->Name == adapter(8).Name);
}

TEST_CASE("only one slot is freed at a time") {
  adapter_slots Engine = full(3, Start);
  const time_point Later = Start + seconds(5);
  const hold_plan Plan = planHold(Engine, adapter(7), Later);
  REQUIRE(Plan.Action == hold_action::Unload);
  noteUnloading(Engine, Plan.Victim->Name);
  REQUIRE(planHold(Engine, adapter(8), Later).Action ==
          hold_action::NoSlotAvailable);
}

TEST_CASE("an adapter that was just loaded is held for the waiting requests") {
  adapter_slots Engine = full(1, Start);
  REQUIRE(planHold(Engine, adapter(7), Start).Action ==
          hold_action::NoSlotAvailable);
}

TEST_CASE("a report does not change a slot with a pending order") {
  adapter_slots Engine = full(2, Start);
  noteUnloading(Engine, adapter(0).Name);
  // The report is older than the unload, which waits for running requests.
  reconcile(Engine, {adapter(0), adapter(1)}, {}, Start);
  REQUIRE(findAdapterSlot(Engine, adapter(0).Name)->State ==
          adapter_slot_state::Unloading);
  noteUnloaded(Engine, adapter(0).Name);
  noteLoading(Engine, adapter(5), Start);
  reconcile(Engine, {adapter(1)}, {}, Start);
  REQUIRE(findAdapterSlot(Engine, adapter(5).Name));
}

TEST_CASE("an adapter older than the wanted version is loaded again") {
  adapter_slots Engine = full(1, Start);
  const time_point Later = Start + seconds(5);
  REQUIRE(planHold(Engine, adapter(0, 2), Later).Action == hold_action::Load);
  noteLoading(Engine, adapter(0, 2), Later);
  REQUIRE(planHold(Engine, adapter(0, 2), Later).Action == hold_action::Wait);
  noteLoaded(Engine, adapter(0, 2), Later);
  REQUIRE(planHold(Engine, adapter(0, 1), Later).Action == hold_action::Held);
}

TEST_CASE("a failed load frees its slot, a failed version update does not") {
  adapter_slots Engine = full(2, Start);
  noteLoading(Engine, adapter(0, 2), Start);
  noteLoadFailed(Engine, adapter(0).Name);
  REQUIRE(findAdapterSlot(Engine, adapter(0).Name)->State ==
          adapter_slot_state::Loaded);
  REQUIRE(findAdapterSlot(Engine, adapter(0).Name)->Adapter.Version == 0);
  noteUnloaded(Engine, adapter(1).Name);
  noteLoading(Engine, adapter(5), Start);
  noteLoadFailed(Engine, adapter(5).Name);
  REQUIRE_FALSE(findAdapterSlot(Engine, adapter(5).Name));
  REQUIRE(Engine.Slots.size() == 1);
}

TEST_CASE("no sequence of holds and orders overfills an engine") {
  rc::prop("occupied slots never exceed the capacity", [] {
    adapter_slots Engine;
    Engine.Capacity = *rc::gen::inRange<std::size_t>(1, 6);
    time_point Now = Start;
    const std::vector<int> Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int Step : Steps) {
      Now += milliseconds(100 * (Step % 7));
      const versioned_adapter Wanted = adapter(Step % 11);
      const hold_plan Plan = planHold(Engine, Wanted, Now);
      const adapter_slot *const Slot = findAdapterSlot(Engine, Wanted.Name);
      switch (Plan.Action) {
      case hold_action::Held:
        RC_ASSERT(Slot->State == adapter_slot_state::Loaded);
        RC_ASSERT(Slot->HeldUntil >= Now + HoldTerm);
        break;
      case hold_action::Load:
        noteLoading(Engine, Wanted, Now);
        break;
      case hold_action::Unload:
        RC_ASSERT(findAdapterSlot(Engine, Plan.Victim->Name)->HeldUntil <= Now);
        noteUnloading(Engine, Plan.Victim->Name);
        if (Step % 3 == 0)
          noteUnloaded(Engine, Plan.Victim->Name);
        break;
      case hold_action::Wait:
        if (Slot && Slot->State == adapter_slot_state::Loading)
          noteLoaded(Engine, Wanted, Now);
        if (Slot && Slot->State == adapter_slot_state::Unloading)
          noteUnloaded(Engine, Wanted.Name);
        break;
      case hold_action::NoSlotAvailable:
        RC_ASSERT(Engine.Slots.size() == Engine.Capacity ||
                  countLoading(Engine) >= MaxConcurrentLoads);
        break;
      }
      RC_ASSERT(Engine.Slots.size() <= Engine.Capacity);
    }
  });
}
