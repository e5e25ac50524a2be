#include "LibResidency/residency_owner.h"

#include <catch2/catch.hpp>

using namespace spindle;

static constexpr upstream_id Engine{7};
static const pin_holder Self{{1}, 1};
static const pin_holder Other{{2}, 1};
static const std::vector<pin_holder> Everyone{Self, Other};

static adapter_id adapter(std::uint64_t Index) { return {100 + Index}; }

namespace {

/// An owner of one engine whose holders have all synced.
struct owned_engine {
  residency_owner Owner;
  time_point Now{seconds(1'000)};
  std::uint64_t Sequence = 10;

  owned_engine(std::uint32_t Slots, bool HonoursFencing = false,
               const std::vector<adapter_id> &Loaded = {}) {
    Owner.ValidUntil = Now + seconds(60);
    engine_slots &Taken = Owner.Engines[Engine];
    Taken.Engine = Engine;
    Taken.HonoursFencing = HonoursFencing;
    takeOver(Taken, 2, Now);
    Now += seconds(4);
    applyReport(Taken, {1, Slots, 1, Loaded, {}, Now}, Now);
    for (const pin_holder &Holder : Everyone)
      applySync(Owner, {Engine, 2}, Holder, 1, {}, Now);
  }
  engine_slots &slots() { return Owner.Engines[Engine]; }
  pin_verdict ask(std::uint64_t Index, const pin_holder &Holder = Self) {
    waiting_pin Request;
    Request.Placement = {Engine, adapter(Index)};
    Request.Holder = Holder;
    Request.Sequence = ++Sequence;
    Request.Since = Now;
    return requestPin(Owner, Request, Now);
  }
  void release(const pin_holder &Holder = Self) {
    applySync(Owner, {Engine, 2}, Holder, ++Sequence, {}, Now);
  }
  /// Carries out what is planned; returns how many loads succeeded.
  std::size_t carryOut(order_result Result = order_result::Done) {
    std::size_t Loads = 0;
    for (const residency_order &Order : planOrders(Owner, Everyone, 8, Now)) {
      if (Order.Victim &&
          !endVictimUnload(Owner, Order, order_result::Done, Now))
        continue;
      Loads += endOrder(Owner, Order, Result, Now).empty() ? 0 : 1;
    }
    return Loads;
  }
  bool holds(std::uint64_t Index) {
    return findSlot(slots(), adapter(Index)) != nullptr;
  }
};

} // namespace

TEST_CASE("a late sync of a lower sequence ends no pin") {
  owned_engine World(2, false, {adapter(1)});
  const std::vector<adapter_id> Held{adapter(1)};
  REQUIRE(applySync(World.Owner, {Engine, 2}, Self, 20, Held, World.Now));
  REQUIRE(applySync(World.Owner, {Engine, 2}, Self, 15, {}, World.Now));
  REQUIRE(isPinned(World.slots(), adapter(1)));
  REQUIRE(applySync(World.Owner, {Engine, 2}, Self, 21, {}, World.Now));
  REQUIRE_FALSE(isPinned(World.slots(), adapter(1)));
  // Nor does anything that its sender has given up since pin again.
  REQUIRE(applySync(World.Owner, {Engine, 2}, Self, 18, Held, World.Now));
  REQUIRE(pinAdapter(World.slots(), adapter(1), Self, 19, World.Now) ==
          pin_outcome::Stale);
  REQUIRE_FALSE(isPinned(World.slots(), adapter(1)));
}

TEST_CASE("a sync under a former fence does not complete the takeover") {
  owned_engine World(2);
  takeOver(World.slots(), 3, World.Now);
  World.Now += seconds(10);
  applyReport(World.slots(), {1, 2, 1, {}, {}, World.Now}, World.Now);
  REQUIRE(applySync(World.Owner, {Engine, 3}, Self, 20, {}, World.Now));
  REQUIRE_FALSE(applySync(World.Owner, {Engine, 2}, Other, 20, {}, World.Now));
  REQUIRE_FALSE(
      pinsAreComplete(World.slots(), Everyone, seconds(3), World.Now));
  REQUIRE(applySync(World.Owner, {Engine, 3}, Other, 21, {}, World.Now));
  REQUIRE(pinsAreComplete(World.slots(), Everyone, seconds(3), World.Now));
}

TEST_CASE("a lapsed owner pins only what is loaded and gives no order") {
  owned_engine World(2, false, {adapter(1)});
  REQUIRE(World.ask(2) == pin_verdict::Waiting);
  World.Now = World.Owner.ValidUntil;
  REQUIRE(World.ask(1) == pin_verdict::Pinned);
  REQUIRE(World.ask(2) == pin_verdict::NotOwner);
  REQUIRE_FALSE(maySendOrders(World.Owner, Engine, 2, World.Now));
  REQUIRE_FALSE(wantsLoad(World.Owner, Everyone, World.Now));
  REQUIRE(planOrders(World.Owner, Everyone, 8, World.Now).empty());
}

TEST_CASE("no pin is granted before the engine has seen the fence") {
  owned_engine World(2, true, {adapter(1)});
  REQUIRE(World.ask(1) == pin_verdict::Waiting);
  const std::vector<residency_order> Raises =
      planFenceUpdates(World.Owner, World.Now);
  REQUIRE(Raises.size() == 1);
  REQUIRE(Raises.front().OnlyUpdatesFence);
  REQUIRE(resolveLoaded(World.Owner, Engine, World.Now).empty());
  endFenceUpdate(World.Owner, Raises.front(), order_result::Done);
  const std::vector<pin_resolution> Resolved =
      resolveLoaded(World.Owner, Engine, World.Now);
  REQUIRE(Resolved.size() == 1);
  REQUIRE(Resolved.front().Verdict == pin_verdict::Pinned);
}

TEST_CASE("a grant under a former fence is not used") {
  pin_cache Pins;
  const placement Placement{Engine, adapter(1)};
  beginPinRequest(Pins, Placement);
  REQUIRE_FALSE(endPinRequest(Pins, Placement, true, 2, 3, time_point()));
  REQUIRE_FALSE(beginCachedUse(Pins, Placement, time_point()));
}

TEST_CASE("a load that fails is retried after growing pauses, then given up") {
  owned_engine World(2);
  REQUIRE(World.ask(1) == pin_verdict::Waiting);
  REQUIRE(World.carryOut(order_result::Refused) == 0);
  REQUIRE(World.carryOut(order_result::Refused) == 0);
  World.Now += milliseconds(250);
  REQUIRE(World.carryOut(order_result::Refused) == 0);
  World.Now += milliseconds(500);
  // The third failure in a row ends the wait.
  REQUIRE(World.carryOut(order_result::Refused) == 1);
  REQUIRE(World.ask(1) == pin_verdict::LoadFailed);
  World.Now += seconds(1);
  REQUIRE(World.ask(1) == pin_verdict::Waiting);
  REQUIRE(World.carryOut() == 1);
  REQUIRE(World.holds(1));
}

TEST_CASE("requests for one adapter share one load") {
  owned_engine World(2);
  REQUIRE(World.ask(1) == pin_verdict::Waiting);
  REQUIRE(World.ask(1, Other) == pin_verdict::Waiting);
  const std::vector<residency_order> Orders =
      planOrders(World.Owner, Everyone, 8, World.Now);
  REQUIRE(Orders.size() == 1);
  REQUIRE(planOrders(World.Owner, Everyone, 8, World.Now).empty());
  REQUIRE(endOrder(World.Owner, Orders.front(), order_result::Done, World.Now)
              .size() == 2);
  // Also while the victim of the load is still being unloaded.
  owned_engine Full(1, false, {adapter(1)});
  Full.Now += seconds(1);
  REQUIRE(Full.ask(2) == pin_verdict::Waiting);
  REQUIRE(planOrders(Full.Owner, Everyone, 8, Full.Now).size() == 1);
  endUnload(Full.slots(), adapter(1), order_result::Done, Full.Now);
  REQUIRE(planOrders(Full.Owner, Everyone, 8, Full.Now).empty());
}

TEST_CASE("a cold adapter is served though every slot stays pinned") {
  owned_engine World(2, false, {adapter(1), adapter(2)});
  REQUIRE(World.ask(1) == pin_verdict::Pinned);
  REQUIRE(World.ask(2) == pin_verdict::Pinned);
  REQUIRE(World.ask(2) == pin_verdict::Pinned);
  REQUIRE(World.ask(3) == pin_verdict::Waiting);
  REQUIRE(World.carryOut() == 0);
  World.Now += World.Owner.Settings.DrainAfter;
  REQUIRE(World.carryOut() == 0);
  // The least asked for is drained: its pins run out, and no new one is given.
  REQUIRE(World.ask(1, Other) == pin_verdict::Waiting);
  REQUIRE(World.ask(2, Other) == pin_verdict::Pinned);
  const std::vector<adapter_id> StillHeld{adapter(2)};
  applySync(World.Owner, {Engine, 2}, Self, ++World.Sequence, StillHeld,
            World.Now);
  REQUIRE(World.carryOut() == 1);
  REQUIRE(World.holds(3));
  REQUIRE_FALSE(World.holds(1));
}

TEST_CASE("a scan of cold adapters does not displace a popular one") {
  for (const victim_policy Victims :
       {victim_policy::Value, victim_policy::Lru}) {
    owned_engine World(3, false, {adapter(1)});
    World.Owner.Settings.Victims = Victims;
    for (int Use = 0; Use < 10; ++Use)
      World.ask(1);
    World.release();
    for (std::uint64_t Cold = 10; Cold < 20; ++Cold) {
      World.Now += seconds(1);
      REQUIRE(World.ask(Cold) == pin_verdict::Waiting);
      REQUIRE(World.carryOut() == 1);
      World.release();
    }
    // The baseline fails here.
    REQUIRE(World.holds(1) == (Victims == victim_policy::Value));
  }
}

TEST_CASE("a late sync of another incarnation ends no pin of a live one") {
  owned_engine World(2, false, {adapter(1)});
  const pin_holder OtherRun{Self.Host, 99};
  REQUIRE(World.ask(1) == pin_verdict::Pinned);
  World.Now += SupersededTimeout;
  applySync(World.Owner, {Engine, 2}, OtherRun, 1, {}, World.Now);
  REQUIRE(isPinned(World.slots(), adapter(1)));
  World.Now += seconds(1);
  applySync(World.Owner, {Engine, 2}, OtherRun, 2, {}, World.Now);
  REQUIRE_FALSE(isPinned(World.slots(), adapter(1)));
}
