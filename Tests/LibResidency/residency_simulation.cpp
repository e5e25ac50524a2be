#include "LibResidency/residency_simulation.h"

#include <algorithm>
#include <utility>

namespace spindle {

/// Short terms, so that a history sees many of them end.
static void hurry(world_host &Host) {
  Host.Owner.Settings.SettleTime = milliseconds(400);
  Host.Owner.Settings.MinResidencyTime = milliseconds(0);
  Host.Owner.Settings.DrainAfter = milliseconds(300);
}

residency_world::residency_world(bool HonoursFencing)
    : HonoursFencing(HonoursFencing) {
  for (world_host &Host : Hosts)
    hurry(Host);
  takeOwnership(0);
  settle(4);
}

static adapter_id adapterAt(std::size_t Index) { return {Index + 1}; }

static host_id hostAt(std::size_t Index) { return {Index + 1}; }

bool residency_world::isUp(std::size_t Host, std::uint64_t Incarnation) const {
  return !Hosts[Host].Paused && Hosts[Host].Incarnation == Incarnation;
}

void residency_world::violate(std::string Text) {
  if (Violation.empty())
    Violation = std::move(Text);
}

void residency_world::step(unsigned Operation, unsigned Argument) {
  const std::size_t Host = Argument % HostCount;
  const std::size_t Other = Argument / HostCount;
  const unsigned Kind = Operation % 64;
  if (Kind < 6)
    return ask(Host, adapterAt(Other % AdapterCount));
  if (Kind < 10)
    return Running.empty() ? void() : finish(Argument % Running.size());
  if (Kind < 15)
    return sync(Host);
  if (Kind < 20)
    return ownerStep(PlatformOwner);
  if (Kind < 21)
    return ownerStep(Host);
  if (Kind < 24) {
    Now += milliseconds(20 * (1 + Argument % 30));
    return;
  }
  if (Kind < 28)
    return renew(PlatformOwner);
  if (Kind < 30)
    return takeOwnership(Host);
  if (Kind < 33) {
    learn(Host);
    return sync(Host);
  }
  if (Kind < 36)
    return report();
  if (Kind < 40)
    return fail(Kind - 36, Host, Other);
  if (Network.empty())
    return;
  const std::size_t Index = Argument % Network.size();
  if (Kind == 40 && Network[Index].MayRepeat)
    Network.push_back(Network[Index]);
  if (Kind == 41 && Other % 2 == 0) {
    const world_message Lost = Network[Index];
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
    return Lost.Lose();
  }
  deliverAt(Index);
}

void residency_world::fail(unsigned Kind, std::size_t Host, std::size_t Other) {
  switch (Kind) {
  case 0:
    Hosts[Host].Paused = !Hosts[Host].Paused && Other % 2 == 0;
    return;
  case 1:
    return Other % 4 == 0 ? crash(Host) : void();
  case 2:
    return Other % 4 == 0 ? restartEngine() : void();
  default:
    FailLoads = Other % 5 == 0;
  }
}

void residency_world::deliverAt(std::size_t Index) {
  const world_message Message = Network[Index];
  Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
  Message.Deliver();
}

void residency_world::ask(std::size_t Host, adapter_id Adapter) {
  world_host &Asker = Hosts[Host];
  if (Asker.Paused || Asker.Fence == 0)
    return;
  if (beginCachedUse(Asker.Pins, {Engine, Adapter}, Now))
    return dispatch(Host, Adapter);
  const std::shared_ptr<world_ask> Ask = std::make_shared<world_ask>();
  *Ask = {Host, Asker.Incarnation, Asker.OwnerHost, Adapter, true};
  const std::uint64_t Sequence = beginPinRequest(Asker.Pins, {Engine, Adapter});
  Asks.push_back(Ask);
  Network.push_back({[this, Ask, Sequence] { deliverAsk(Ask, Sequence); },
                     [this, Ask] { endAsk(Ask, false, 0); }, true});
}

void residency_world::deliverAsk(const std::shared_ptr<world_ask> &Ask,
                                 std::uint64_t Sequence) {
  world_host &Owner = Hosts[Ask->Owner];
  if (Owner.Paused)
    return endAsk(Ask, false, 0);
  waiting_pin Waiting;
  Waiting.Placement = {Engine, Ask->Adapter};
  Waiting.Holder = {hostAt(Ask->Host), Ask->Incarnation};
  Waiting.Sequence = Sequence;
  Waiting.Since = Now;
  const pin_verdict Verdict = requestPin(Owner.Owner, Waiting, Now);
  if (Verdict == pin_verdict::Waiting)
    Owner.Waiters[Waiting.Ticket] = {Waiting, Ask};
  else
    reply(Ask, Verdict == pin_verdict::Pinned,
          Owner.Owner.Engines.contains(Engine)
              ? Owner.Owner.Engines[Engine].Fence
              : 0);
}

void residency_world::reply(const std::shared_ptr<world_ask> &Ask, bool Granted,
                            std::uint64_t Fence) {
  Network.push_back(
      {[this, Ask, Granted, Fence] { endAsk(Ask, Granted, Fence); },
       [this, Ask] { endAsk(Ask, false, 0); }, false});
}

void residency_world::endAsk(const std::shared_ptr<world_ask> &Ask,
                             bool Granted, std::uint64_t Fence) {
  world_host &Asker = Hosts[Ask->Host];
  if (!Ask->Open || Asker.Incarnation != Ask->Incarnation)
    return;
  Ask->Open = false;
  if (endPinRequest(Asker.Pins, {Engine, Ask->Adapter}, Granted, Fence,
                    Asker.Fence, Now))
    dispatch(Ask->Host, Ask->Adapter);
}

void residency_world::dispatch(std::size_t Host, adapter_id Adapter) {
  ++Runs;
  if (Loaded.contains(Adapter))
    Running.push_back({Host, Hosts[Host].Incarnation, Adapter});
  else
    endUse(Hosts[Host].Pins, {Engine, Adapter}, Now);
}

void residency_world::finish(std::size_t Run) {
  const world_run Ended = Running[Run];
  Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Run));
  if (Hosts[Ended.Host].Incarnation == Ended.Incarnation)
    endUse(Hosts[Ended.Host].Pins, {Engine, Ended.Adapter}, Now);
}

void residency_world::sync(std::size_t Host) {
  world_host &Holder = Hosts[Host];
  if (Holder.Paused || Holder.Fence == 0)
    return;
  dropUnusedPins(Holder.Pins, milliseconds(300), Now);
  if (!needsSync(Holder.Pins, {Engine, Holder.Fence}, Now))
    return;
  const std::vector<fenced_engine> Named{{Engine, Holder.Fence}};
  const pin_sync Sync = composeSync(Holder.Pins, Named);
  Network.push_back(
      {[this, Host, Incarnation = Holder.Incarnation, Owner = Holder.OwnerHost,
        Sync] { deliverSync(Host, Incarnation, Owner, Sync); },
       [] {}, true});
}

void residency_world::deliverSync(std::size_t Host, std::uint64_t Incarnation,
                                  std::size_t Owner, const pin_sync &Sync) {
  if (Hosts[Owner].Paused)
    return;
  std::vector<adapter_id> Named;
  for (const synced_pin &Pin : Sync.Pins)
    Named.push_back(Pin.Placement.Adapter);
  const std::optional<std::vector<adapter_id>> Refused =
      applySync(Hosts[Owner].Owner, Sync.Engines.front(),
                {hostAt(Host), Incarnation}, Sync.Sequence, Named, Now);
  if (!Refused)
    return;
  Network.push_back({[this, Host, Incarnation, Sync, Refused] {
                       if (Hosts[Host].Incarnation != Incarnation)
                         return;
                       noteSyncAcknowledged(Hosts[Host].Pins, Sync,
                                            Sync.Engines.front(), Now);
                       for (const adapter_id Adapter : *Refused)
                         notePinRecalled(Hosts[Host].Pins, {Engine, Adapter});
                     },
                     [] {}, false});
}

void residency_world::resolve(std::size_t Host,
                              const std::vector<pin_resolution> &Resolved) {
  for (const pin_resolution &Resolution : Resolved) {
    const auto Waiter = Hosts[Host].Waiters.find(Resolution.Ticket);
    if (Waiter == Hosts[Host].Waiters.end())
      continue;
    reply(Waiter->second.second, Resolution.Verdict == pin_verdict::Pinned,
          Resolution.Fence);
    Hosts[Host].Waiters.erase(Waiter);
  }
}

void residency_world::giveUpOld(std::size_t Host) {
  std::erase_if(Hosts[Host].Waiters, [this, Host](const auto &Entry) {
    const auto &[Waiting, Ask] = Entry.second;
    if (Now - Waiting.Since < AskLimit)
      return false;
    cancelWaitingPin(Hosts[Host].Owner, Waiting);
    reply(Ask, false, 0);
    return true;
  });
}

void residency_world::ownerStep(std::size_t Host) {
  world_host &Owner = Hosts[Host];
  if (Owner.Paused)
    return;
  giveUpOld(Host);
  resolve(Host, resolveLoaded(Owner.Owner, Engine, Now));
  for (const residency_order &Order : planFenceUpdates(Owner.Owner, Now))
    sendOrder(Host, Order, true);
  for (const residency_order &Order :
       planOrders(Owner.Owner, Owner.Holders, 1, Now))
    sendOrder(Host, Order, !Order.Victim);
}

void residency_world::sendOrder(std::size_t Host, const residency_order &Order,
                                bool IsLoad) {
  const std::uint64_t Incarnation = Hosts[Host].Incarnation;
  const std::shared_ptr<bool> Answered = std::make_shared<bool>(false);
  if (!maySendOrders(Hosts[Host].Owner, Engine, Order.Fence, Now))
    return endOfOrder(Host, Incarnation, Order, IsLoad, order_result::Refused);
  const time_point Deadline = Hosts[Host].Owner.ValidUntil;
  Network.push_back({[this, Host, Order, IsLoad, Deadline, Answered] {
                       execute(Host, Order, IsLoad, Deadline, Answered);
                     },
                     [this, Host, Incarnation, Order, IsLoad, Answered] {
                       if (!std::exchange(*Answered, true))
                         endOfOrder(Host, Incarnation, Order, IsLoad,
                                    order_result::ResponseLost);
                     },
                     false});
}

void residency_world::execute(std::size_t Host, const residency_order &Order,
                              bool IsLoad, time_point Deadline,
                              const std::shared_ptr<bool> &Answered) {
  const std::uint64_t Incarnation = Hosts[Host].Incarnation;
  // A connection delivers an order once. An engine without fencing gets none
  // after its sender's deadline.
  if (*Answered)
    return;
  *Answered = true;
  const bool TooLate = !HonoursFencing && Now >= Deadline;
  const order_result Result =
      TooLate ? order_result::ResponseLost : orderEngine(Order, IsLoad);
  Network.push_back({[this, Host, Incarnation, Order, IsLoad, Result] {
                       endOfOrder(Host, Incarnation, Order, IsLoad, Result);
                     },
                     [this, Host, Incarnation, Order, IsLoad] {
                       endOfOrder(Host, Incarnation, Order, IsLoad,
                                  order_result::ResponseLost);
                     },
                     false});
}

order_result residency_world::orderEngine(const residency_order &Order,
                                          bool IsLoad) {
  if (HonoursFencing && Order.Fence < FenceSeen)
    return order_result::Refused;
  FenceSeen = std::max(FenceSeen, Order.Fence);
  if (!HonoursFencing && Order.Fence != PlatformFence)
    violate("a former owner's order reached an engine without fencing");
  if (IsLoad) {
    if (Loaded.contains(Order.Adapter))
      return order_result::Done;
    // A former owner's late order may have filled the slot before the engine
    // saw the new fence, and a restart shows only in the next report. Without
    // either the owner knows better.
    if (!HonoursFencing && EngineIncarnation == 1 && Loaded.size() >= SlotCount)
      violate("an order exceeds the engine's slots");
    if (FailLoads || Loaded.size() >= SlotCount)
      return order_result::Refused;
    Loaded.insert(Order.Adapter);
    return order_result::Done;
  }
  if (std::ranges::find(Running, *Order.Victim, &world_run::Adapter) !=
      Running.end())
    violate("an adapter was evicted under a running request");
  Evictions += Loaded.erase(*Order.Victim);
  return order_result::Done;
}

void residency_world::endOfOrder(std::size_t Host, std::uint64_t Incarnation,
                                 const residency_order &Order, bool IsLoad,
                                 order_result Result) {
  if (Hosts[Host].Incarnation != Incarnation)
    return;
  residency_owner &Owner = Hosts[Host].Owner;
  if (Order.OnlyUpdatesFence)
    return endFenceUpdate(Owner, Order, Result);
  if (IsLoad)
    return resolve(Host, endOrder(Owner, Order, Result, Now));
  if (endVictimUnload(Owner, Order, Result, Now))
    sendOrder(Host, Order, true);
}

void residency_world::renew(std::size_t Host) {
  if (Hosts[Host].Paused || PlatformOwner != Host ||
      PlatformOwnerIncarnation != Hosts[Host].Incarnation ||
      Now >= PlatformValidUntil)
    return;
  PlatformValidUntil = Now + Lease;
  Hosts[Host].Owner.ValidUntil = PlatformValidUntil - Margin;
}

void residency_world::takeOwnership(std::size_t Host) {
  const bool FormerIsGone =
      PlatformFence == 0 ||
      PlatformOwnerIncarnation != Hosts[PlatformOwner].Incarnation;
  if (Hosts[Host].Paused || Now < PlatformValidUntil ||
      (!HonoursFencing && !FormerIsGone && PlatformOwner != Host))
    return;
  PlatformOwner = Host;
  PlatformOwnerIncarnation = Hosts[Host].Incarnation;
  PlatformValidUntil = Now + Lease;
  ++PlatformFence;
  ++Takeovers;
  learn(Host);
}

void residency_world::learn(std::size_t Host) {
  world_host &Learner = Hosts[Host];
  if (Learner.Paused)
    return;
  Learner.OwnerHost = PlatformOwner;
  Learner.Fence = PlatformFence;
  Learner.Holders.clear();
  for (std::size_t Other = 0; Other < HostCount; ++Other)
    Learner.Holders.push_back({hostAt(Other), Hosts[Other].Incarnation});
  residency_owner &Owner = Learner.Owner;
  if (PlatformOwner != Host || PlatformOwnerIncarnation != Learner.Incarnation)
    return resolve(Host, dropEngine(Owner, Engine));
  Owner.ValidUntil = PlatformValidUntil - Margin;
  engine_slots &Slots = Owner.Engines[Engine];
  Slots.Engine = Engine;
  Slots.HonoursFencing = HonoursFencing;
  if (Slots.Fence < PlatformFence)
    takeOver(Slots, PlatformFence, Now);
  for (std::size_t Other = 0; Other < HostCount; ++Other)
    releaseHolderPins(Slots, {hostAt(Other), Hosts[Other].Incarnation - 1});
}

void residency_world::crash(std::size_t Host) {
  std::erase_if(Running,
                [Host](const world_run &Run) { return Run.Host == Host; });
  const std::uint64_t Next = Hosts[Host].Incarnation + 1;
  Hosts[Host] = {};
  Hosts[Host].Incarnation = Next;
  hurry(Hosts[Host]);
  for (const std::shared_ptr<world_ask> &Ask : Asks)
    if (Ask->Owner == Host)
      endAsk(Ask, false, 0);
}

void residency_world::restartEngine() {
  while (!Running.empty())
    finish(0);
  Loaded.clear();
  FenceSeen = 0;
  ++EngineIncarnation;
}

void residency_world::report() {
  slot_report Report{EngineIncarnation, SlotCount, FenceSeen, {}, {}, Now};
  Report.Loaded.assign(Loaded.begin(), Loaded.end());
  Network.push_back({[this, Report] {
                       for (world_host &Host : Hosts)
                         if (Host.Owner.Engines.contains(Engine))
                           applyReport(Host.Owner.Engines[Engine], Report, Now);
                     },
                     [] {}, false});
}

void residency_world::settle(int Rounds) {
  FailLoads = false;
  for (world_host &Host : Hosts)
    Host.Paused = false;
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += milliseconds(1'000);
    renew(PlatformOwner);
    if (Now >= PlatformValidUntil)
      takeOwnership(Round % HostCount);
    while (!Running.empty())
      finish(0);
    report();
    for (std::size_t Host = 0; Host < HostCount; ++Host) {
      learn(Host);
      sync(Host);
      ownerStep(Host);
    }
    while (!Network.empty())
      deliverAt(0);
  }
}

std::size_t residency_world::serveEach() {
  std::size_t Served = 0;
  for (std::size_t Index = 0; Index < AdapterCount; ++Index) {
    const std::size_t Before = Runs;
    ask(Index % HostCount, adapterAt(Index));
    settle(8);
    Served += Runs > Before ? 1 : 0;
  }
  return Served;
}

std::size_t residency_world::openAsks() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Asks, [this](const std::shared_ptr<world_ask> &Ask) {
        return Ask->Open && Hosts[Ask->Host].Incarnation == Ask->Incarnation;
      }));
}

} // namespace spindle
