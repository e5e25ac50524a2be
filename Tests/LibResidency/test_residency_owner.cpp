#include "LibResidency/residency_owner.h"

#include <catch2/catch.hpp>

using namespace spindle;

static constexpr upstream_id Engine{7};
static const pin_holder Self{{1}, 1};
static const pin_holder Other{{2}, 1};
static const std::vector<pin_holder> Everyone{Self, Other};

static adapter_id adapter(std::uint64_t Index) { return {100 + Index}; }

namespace {

/// An owner of one engine; all holders have synced their pins.
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
  pin_verdict requestAdapter(std::uint64_t Index,
                             const pin_holder &Holder = Self) {
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
  /// Executes the planned orders with \p Result for loads. Returns how many of
  /// them resolved waiting requests.
  std::size_t executeOrders(order_result Result = order_result::Done) {
    std::size_t Loads = 0;
    for (const residency_order &Order : planOrders(Owner, Everyone, 8, Now)) {
      if (Order.Victim &&
          !endVictimUnload(Owner, Order, order_result::Done, Now))
        continue;
      Loads += endOrder(Owner, Order, Result, Now).empty() ? 0 : 1;
    }
    return Loads;
  }
  bool hasSlot(std::uint64_t Index) {
    return findSlot(slots(), adapter(Index)) != nullptr;
  }
};

} // namespace

TEST_CASE("a delayed sync with a lower sequence number releases no pin") {
  owned_engine Fixture(2, false, {adapter(1)});
  const std::vector<adapter_id> Held{adapter(1)};
  REQUIRE(applySync(Fixture.Owner, {Engine, 2}, Self, 20, Held, Fixture.Now));
  REQUIRE(applySync(Fixture.Owner, {Engine, 2}, Self, 15, {}, Fixture.Now));
  REQUIRE(isPinned(Fixture.slots(), adapter(1)));
  REQUIRE(applySync(Fixture.Owner, {Engine, 2}, Self, 21, {}, Fixture.Now));
  REQUIRE_FALSE(isPinned(Fixture.slots(), adapter(1)));
  // Older syncs and requests of the sender must not restore the pin either.
  REQUIRE(applySync(Fixture.Owner, {Engine, 2}, Self, 18, Held, Fixture.Now));
  REQUIRE(pinAdapter(Fixture.slots(), adapter(1), Self, 19, Fixture.Now) ==
          pin_outcome::Stale);
  REQUIRE_FALSE(isPinned(Fixture.slots(), adapter(1)));
}

TEST_CASE(
    "a sync with an outdated fencing token does not complete a takeover") {
  owned_engine Fixture(2);
  takeOver(Fixture.slots(), 3, Fixture.Now);
  Fixture.Now += seconds(10);
  applyReport(Fixture.slots(), {1, 2, 1, {}, {}, Fixture.Now}, Fixture.Now);
  REQUIRE(applySync(Fixture.Owner, {Engine, 3}, Self, 20, {}, Fixture.Now));
  REQUIRE_FALSE(
      applySync(Fixture.Owner, {Engine, 2}, Other, 20, {}, Fixture.Now));
  REQUIRE_FALSE(
      pinsAreComplete(Fixture.slots(), Everyone, seconds(3), Fixture.Now));
  REQUIRE(applySync(Fixture.Owner, {Engine, 3}, Other, 21, {}, Fixture.Now));
  REQUIRE(pinsAreComplete(Fixture.slots(), Everyone, seconds(3), Fixture.Now));
}

TEST_CASE("an expired owner pins only loaded adapters and sends no orders") {
  owned_engine Fixture(2, false, {adapter(1)});
  REQUIRE(Fixture.requestAdapter(2) == pin_verdict::Waiting);
  Fixture.Now = Fixture.Owner.ValidUntil;
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Pinned);
  REQUIRE(Fixture.requestAdapter(2) == pin_verdict::NotOwner);
  REQUIRE_FALSE(maySendOrders(Fixture.Owner, Engine, 2, Fixture.Now));
  REQUIRE_FALSE(isLoadDue(Fixture.Owner, Everyone, Fixture.Now));
  REQUIRE(planOrders(Fixture.Owner, Everyone, 8, Fixture.Now).empty());
}

TEST_CASE("no pin is granted before the engine has seen the fencing token") {
  owned_engine Fixture(2, true, {adapter(1)});
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Waiting);
  const std::vector<residency_order> Updates =
      planFenceUpdates(Fixture.Owner, Fixture.Now);
  REQUIRE(Updates.size() == 1);
  REQUIRE(Updates.front().OnlyUpdatesFence);
  REQUIRE(resolveLoaded(Fixture.Owner, Engine, Fixture.Now).empty());
  endFenceUpdate(Fixture.Owner, Updates.front(), order_result::Done);
  const std::vector<pin_resolution> Resolved =
      resolveLoaded(Fixture.Owner, Engine, Fixture.Now);
  REQUIRE(Resolved.size() == 1);
  REQUIRE(Resolved.front().Verdict == pin_verdict::Pinned);
}

TEST_CASE("a pin granted under an outdated fencing token is not used") {
  pin_cache Pins;
  const placement Placement{Engine, adapter(1)};
  beginPinRequest(Pins, Placement);
  REQUIRE_FALSE(endPinRequest(Pins, Placement, true, 2, 3, time_point()));
  REQUIRE_FALSE(beginCachedUse(Pins, Placement, time_point()));
}

TEST_CASE("a failed load is retried with exponential backoff, then given up") {
  owned_engine Fixture(2);
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Waiting);
  REQUIRE(Fixture.executeOrders(order_result::Refused) == 0);
  REQUIRE(Fixture.executeOrders(order_result::Refused) == 0);
  Fixture.Now += milliseconds(250);
  REQUIRE(Fixture.executeOrders(order_result::Refused) == 0);
  Fixture.Now += milliseconds(500);
  // The third consecutive failure fails the waiting requests.
  REQUIRE(Fixture.executeOrders(order_result::Refused) == 1);
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::LoadFailed);
  Fixture.Now += seconds(1);
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Waiting);
  REQUIRE(Fixture.executeOrders() == 1);
  REQUIRE(Fixture.hasSlot(1));
}

TEST_CASE("requests for one adapter share one load") {
  owned_engine Fixture(2);
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Waiting);
  REQUIRE(Fixture.requestAdapter(1, Other) == pin_verdict::Waiting);
  const std::vector<residency_order> Orders =
      planOrders(Fixture.Owner, Everyone, 8, Fixture.Now);
  REQUIRE(Orders.size() == 1);
  REQUIRE(planOrders(Fixture.Owner, Everyone, 8, Fixture.Now).empty());
  REQUIRE(
      endOrder(Fixture.Owner, Orders.front(), order_result::Done, Fixture.Now)
          .size() == 2);
  // The same holds while the victim of the load is being unloaded.
  owned_engine FullEngine(1, false, {adapter(1)});
  FullEngine.Now += seconds(1);
  REQUIRE(FullEngine.requestAdapter(2) == pin_verdict::Waiting);
  REQUIRE(planOrders(FullEngine.Owner, Everyone, 8, FullEngine.Now).size() ==
          1);
  endUnload(FullEngine.slots(), adapter(1), order_result::Done, FullEngine.Now);
  REQUIRE(planOrders(FullEngine.Owner, Everyone, 8, FullEngine.Now).empty());
}

TEST_CASE("an adapter is loaded even if every slot stays in use") {
  owned_engine Fixture(2, false, {adapter(1), adapter(2)});
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Pinned);
  REQUIRE(Fixture.requestAdapter(2) == pin_verdict::Pinned);
  REQUIRE(Fixture.requestAdapter(2) == pin_verdict::Pinned);
  REQUIRE(Fixture.requestAdapter(3) == pin_verdict::Waiting);
  REQUIRE(Fixture.executeOrders() == 0);
  Fixture.Now += Fixture.Owner.Settings.DrainAfter;
  REQUIRE(Fixture.executeOrders() == 0);
  // The least requested adapter is drained: it gets no new pins and is evicted
  // once its pins are released.
  REQUIRE(Fixture.requestAdapter(1, Other) == pin_verdict::Waiting);
  REQUIRE(Fixture.requestAdapter(2, Other) == pin_verdict::Pinned);
  const std::vector<adapter_id> RemainingPins{adapter(2)};
  applySync(Fixture.Owner, {Engine, 2}, Self, ++Fixture.Sequence, RemainingPins,
            Fixture.Now);
  REQUIRE(Fixture.executeOrders() == 1);
  REQUIRE(Fixture.hasSlot(3));
  REQUIRE_FALSE(Fixture.hasSlot(1));
}

TEST_CASE("a scan of rarely used adapters does not evict a popular one") {
  for (const victim_policy Victims :
       {victim_policy::Value, victim_policy::Lru}) {
    owned_engine Fixture(3, false, {adapter(1)});
    Fixture.Owner.Settings.Victims = Victims;
    for (int Use = 0; Use < 10; ++Use)
      Fixture.requestAdapter(1);
    Fixture.release();
    for (std::uint64_t ColdAdapter = 10; ColdAdapter < 20; ++ColdAdapter) {
      Fixture.Now += seconds(1);
      REQUIRE(Fixture.requestAdapter(ColdAdapter) == pin_verdict::Waiting);
      REQUIRE(Fixture.executeOrders() == 1);
      Fixture.release();
    }
    // LRU, the baseline, evicts the popular adapter.
    REQUIRE(Fixture.hasSlot(1) == (Victims == victim_policy::Value));
  }
}

TEST_CASE(
    "a delayed sync of another incarnation releases no pin of a live one") {
  owned_engine Fixture(2, false, {adapter(1)});
  const pin_holder OtherIncarnation{Self.Host, 99};
  REQUIRE(Fixture.requestAdapter(1) == pin_verdict::Pinned);
  Fixture.Now += SupersededTimeout;
  applySync(Fixture.Owner, {Engine, 2}, OtherIncarnation, 1, {}, Fixture.Now);
  REQUIRE(isPinned(Fixture.slots(), adapter(1)));
  Fixture.Now += seconds(1);
  applySync(Fixture.Owner, {Engine, 2}, OtherIncarnation, 2, {}, Fixture.Now);
  REQUIRE_FALSE(isPinned(Fixture.slots(), adapter(1)));
}
