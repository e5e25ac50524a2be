#include "LibResidency/residency_simulation.h"

#include <algorithm>
#include <utility>

namespace spindle {

/// Shortens delays, so that many of them elapse within a history.
static void shortenDelays(simulated_host &Host) {
  Host.Owner.Settings.SettleTime = milliseconds(400);
  Host.Owner.Settings.MinResidencyTime = milliseconds(0);
  Host.Owner.Settings.DrainAfter = milliseconds(300);
}

residency_simulation::residency_simulation(bool HonoursFencing)
    : HonoursFencing(HonoursFencing) {
  for (simulated_host &Host : Hosts)
    shortenDelays(Host);
  takeOwnership(0);
  settle(4);
}

static adapter_id adapterAt(std::size_t Index) { return {Index + 1}; }

static host_id hostAt(std::size_t Index) { return {Index + 1}; }

bool residency_simulation::isUp(std::size_t Host,
                                std::uint64_t Incarnation) const {
  return !Hosts[Host].Paused && Hosts[Host].Incarnation == Incarnation;
}

void residency_simulation::recordViolation(std::string Text) {
  if (Violation.empty())
    Violation = std::move(Text);
}

void residency_simulation::runStep(unsigned Operation, unsigned Argument) {
  const std::size_t Host = Argument % HostCount;
  const std::size_t Other = Argument / HostCount;
  const unsigned Kind = Operation % 64;
  if (Kind < 6)
    return requestAdapter(Host, adapterAt(Other % AdapterCount));
  if (Kind < 10)
    return Running.empty() ? void() : finishRun(Argument % Running.size());
  if (Kind < 15)
    return sync(Host);
  if (Kind < 20)
    return runOwner(PlatformOwner);
  if (Kind < 21)
    return runOwner(Host);
  if (Kind < 24) {
    Now += milliseconds(20 * (1 + Argument % 30));
    return;
  }
  if (Kind < 28)
    return renewLease(PlatformOwner);
  if (Kind < 30)
    return takeOwnership(Host);
  if (Kind < 33) {
    refreshView(Host);
    return sync(Host);
  }
  if (Kind < 36)
    return sendReport();
  if (Kind < 40)
    return injectFault(Kind - 36, Host, Other);
  if (Network.empty())
    return;
  const std::size_t Index = Argument % Network.size();
  if (Kind == 40 && Network[Index].MayDuplicate)
    Network.push_back(Network[Index]);
  if (Kind == 41 && Other % 2 == 0) {
    const simulated_message Dropped = Network[Index];
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
    return Dropped.Drop();
  }
  deliverAt(Index);
}

void residency_simulation::injectFault(unsigned Kind, std::size_t Host,
                                       std::size_t Other) {
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

void residency_simulation::deliverAt(std::size_t Index) {
  const simulated_message Message = Network[Index];
  Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
  Message.Deliver();
}

void residency_simulation::requestAdapter(std::size_t Host,
                                          adapter_id Adapter) {
  simulated_host &Requester = Hosts[Host];
  if (Requester.Paused || Requester.Fence == 0)
    return;
  if (beginCachedUse(Requester.Pins, {Engine, Adapter}, Now))
    return startRun(Host, Adapter);
  const std::shared_ptr<simulated_pin_request> PinRequest =
      std::make_shared<simulated_pin_request>();
  *PinRequest = {Host, Requester.Incarnation, Requester.OwnerHost, Adapter,
                 true};
  const std::uint64_t Sequence =
      beginPinRequest(Requester.Pins, {Engine, Adapter});
  PinRequests.push_back(PinRequest);
  Network.push_back(
      {[this, PinRequest, Sequence] {
         deliverPinRequest(PinRequest, Sequence);
       },
       [this, PinRequest] { finishPinRequest(PinRequest, false, 0); }, true});
}

void residency_simulation::deliverPinRequest(
    const std::shared_ptr<simulated_pin_request> &PinRequest,
    std::uint64_t Sequence) {
  simulated_host &Owner = Hosts[PinRequest->Owner];
  if (Owner.Paused)
    return finishPinRequest(PinRequest, false, 0);
  waiting_pin Waiting;
  Waiting.Placement = {Engine, PinRequest->Adapter};
  Waiting.Holder = {hostAt(PinRequest->Host), PinRequest->Incarnation};
  Waiting.Sequence = Sequence;
  Waiting.Since = Now;
  const pin_verdict Verdict = requestPin(Owner.Owner, Waiting, Now);
  if (Verdict == pin_verdict::Waiting)
    Owner.Waiters[Waiting.Ticket] = {Waiting, PinRequest};
  else
    sendReply(PinRequest, Verdict == pin_verdict::Pinned,
              Owner.Owner.Engines.contains(Engine)
                  ? Owner.Owner.Engines[Engine].Fence
                  : 0);
}

void residency_simulation::sendReply(
    const std::shared_ptr<simulated_pin_request> &PinRequest, bool Granted,
    std::uint64_t Fence) {
  Network.push_back(
      {[this, PinRequest, Granted, Fence] {
         finishPinRequest(PinRequest, Granted, Fence);
       },
       [this, PinRequest] { finishPinRequest(PinRequest, false, 0); }, false});
}

void residency_simulation::finishPinRequest(
    const std::shared_ptr<simulated_pin_request> &PinRequest, bool Granted,
    std::uint64_t Fence) {
  simulated_host &Requester = Hosts[PinRequest->Host];
  if (!PinRequest->Open || Requester.Incarnation != PinRequest->Incarnation)
    return;
  PinRequest->Open = false;
  if (endPinRequest(Requester.Pins, {Engine, PinRequest->Adapter}, Granted,
                    Fence, Requester.Fence, Now))
    startRun(PinRequest->Host, PinRequest->Adapter);
}

void residency_simulation::startRun(std::size_t Host, adapter_id Adapter) {
  ++Runs;
  if (Loaded.contains(Adapter))
    Running.push_back({Host, Hosts[Host].Incarnation, Adapter});
  else
    endUse(Hosts[Host].Pins, {Engine, Adapter}, Now);
}

void residency_simulation::finishRun(std::size_t Run) {
  const simulated_run Ended = Running[Run];
  Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Run));
  if (Hosts[Ended.Host].Incarnation == Ended.Incarnation)
    endUse(Hosts[Ended.Host].Pins, {Engine, Ended.Adapter}, Now);
}

void residency_simulation::sync(std::size_t Host) {
  simulated_host &Holder = Hosts[Host];
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

void residency_simulation::deliverSync(std::size_t Host,
                                       std::uint64_t Incarnation,
                                       std::size_t Owner,
                                       const pin_sync &Sync) {
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

void residency_simulation::resolve(
    std::size_t Host, const std::vector<pin_resolution> &Resolved) {
  for (const pin_resolution &Resolution : Resolved) {
    const auto Waiter = Hosts[Host].Waiters.find(Resolution.Ticket);
    if (Waiter == Hosts[Host].Waiters.end())
      continue;
    sendReply(Waiter->second.second, Resolution.Verdict == pin_verdict::Pinned,
              Resolution.Fence);
    Hosts[Host].Waiters.erase(Waiter);
  }
}

void residency_simulation::cancelExpiredWaits(std::size_t Host) {
  std::erase_if(Hosts[Host].Waiters, [this, Host](const auto &Entry) {
    const auto &[Waiting, PinRequest] = Entry.second;
    if (Now - Waiting.Since < MaxWait)
      return false;
    cancelWaitingPin(Hosts[Host].Owner, Waiting);
    sendReply(PinRequest, false, 0);
    return true;
  });
}

void residency_simulation::runOwner(std::size_t Host) {
  simulated_host &Owner = Hosts[Host];
  if (Owner.Paused)
    return;
  cancelExpiredWaits(Host);
  resolve(Host, resolveLoaded(Owner.Owner, Engine, Now));
  for (const residency_order &Order : planFenceUpdates(Owner.Owner, Now))
    sendOrder(Host, Order, true);
  for (const residency_order &Order :
       planOrders(Owner.Owner, Owner.Holders, 1, Now))
    sendOrder(Host, Order, !Order.Victim);
}

void residency_simulation::sendOrder(std::size_t Host,
                                     const residency_order &Order,
                                     bool IsLoad) {
  const std::uint64_t Incarnation = Hosts[Host].Incarnation;
  const std::shared_ptr<bool> Answered = std::make_shared<bool>(false);
  if (!maySendOrders(Hosts[Host].Owner, Engine, Order.Fence, Now))
    return finishOrder(Host, Incarnation, Order, IsLoad, order_result::Refused);
  const time_point Deadline = Hosts[Host].Owner.ValidUntil;
  Network.push_back({[this, Host, Order, IsLoad, Deadline, Answered] {
                       executeOrder(Host, Order, IsLoad, Deadline, Answered);
                     },
                     [this, Host, Incarnation, Order, IsLoad, Answered] {
                       if (!std::exchange(*Answered, true))
                         finishOrder(Host, Incarnation, Order, IsLoad,
                                     order_result::ResponseLost);
                     },
                     false});
}

void residency_simulation::executeOrder(std::size_t Host,
                                        const residency_order &Order,
                                        bool IsLoad, time_point Deadline,
                                        const std::shared_ptr<bool> &Answered) {
  const std::uint64_t Incarnation = Hosts[Host].Incarnation;
  // A connection delivers an order once. An order to an engine without fencing
  // is not delivered after its sender's deadline.
  if (*Answered)
    return;
  *Answered = true;
  const bool IsExpired = !HonoursFencing && Now >= Deadline;
  const order_result Result =
      IsExpired ? order_result::ResponseLost : orderEngine(Order, IsLoad);
  Network.push_back({[this, Host, Incarnation, Order, IsLoad, Result] {
                       finishOrder(Host, Incarnation, Order, IsLoad, Result);
                     },
                     [this, Host, Incarnation, Order, IsLoad] {
                       finishOrder(Host, Incarnation, Order, IsLoad,
                                   order_result::ResponseLost);
                     },
                     false});
}

order_result residency_simulation::orderEngine(const residency_order &Order,
                                               bool IsLoad) {
  if (HonoursFencing && Order.Fence < FenceSeen)
    return order_result::Refused;
  FenceSeen = std::max(FenceSeen, Order.Fence);
  if (!HonoursFencing && Order.Fence != PlatformFence)
    recordViolation(
        "an order of a former owner reached an engine without fencing");
  if (IsLoad) {
    if (Loaded.contains(Order.Adapter))
      return order_result::Done;
    // With fencing, a late order of a former owner may have filled the slot
    // before the engine saw the new token, and a restart of the engine is only
    // visible in the next report. In all other cases the owner must not order
    // more loads than the engine has slots.
    if (!HonoursFencing && EngineIncarnation == 1 && Loaded.size() >= SlotCount)
      recordViolation(
          "a load was ordered although all slots of the engine are occupied");
    if (FailLoads || Loaded.size() >= SlotCount)
      return order_result::Refused;
    Loaded.insert(Order.Adapter);
    return order_result::Done;
  }
  if (std::ranges::find(Running, *Order.Victim, &simulated_run::Adapter) !=
      Running.end())
    recordViolation("an adapter was evicted while a request was using it");
  Evictions += Loaded.erase(*Order.Victim);
  return order_result::Done;
}

void residency_simulation::finishOrder(std::size_t Host,
                                       std::uint64_t Incarnation,
                                       const residency_order &Order,
                                       bool IsLoad, order_result Result) {
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

void residency_simulation::renewLease(std::size_t Host) {
  if (Hosts[Host].Paused || PlatformOwner != Host ||
      PlatformOwnerIncarnation != Hosts[Host].Incarnation ||
      Now >= PlatformValidUntil)
    return;
  PlatformValidUntil = Now + Lease;
  Hosts[Host].Owner.ValidUntil = PlatformValidUntil - Margin;
}

void residency_simulation::takeOwnership(std::size_t Host) {
  const bool FormerOwnerTerminated =
      PlatformFence == 0 ||
      PlatformOwnerIncarnation != Hosts[PlatformOwner].Incarnation;
  if (Hosts[Host].Paused || Now < PlatformValidUntil ||
      (!HonoursFencing && !FormerOwnerTerminated && PlatformOwner != Host))
    return;
  PlatformOwner = Host;
  PlatformOwnerIncarnation = Hosts[Host].Incarnation;
  PlatformValidUntil = Now + Lease;
  ++PlatformFence;
  ++Takeovers;
  refreshView(Host);
}

void residency_simulation::refreshView(std::size_t Host) {
  simulated_host &Observer = Hosts[Host];
  if (Observer.Paused)
    return;
  Observer.OwnerHost = PlatformOwner;
  Observer.Fence = PlatformFence;
  Observer.Holders.clear();
  for (std::size_t Other = 0; Other < HostCount; ++Other)
    Observer.Holders.push_back({hostAt(Other), Hosts[Other].Incarnation});
  residency_owner &Owner = Observer.Owner;
  if (PlatformOwner != Host || PlatformOwnerIncarnation != Observer.Incarnation)
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

void residency_simulation::crash(std::size_t Host) {
  std::erase_if(Running,
                [Host](const simulated_run &Run) { return Run.Host == Host; });
  const std::uint64_t Next = Hosts[Host].Incarnation + 1;
  Hosts[Host] = {};
  Hosts[Host].Incarnation = Next;
  shortenDelays(Hosts[Host]);
  for (const std::shared_ptr<simulated_pin_request> &PinRequest : PinRequests)
    if (PinRequest->Owner == Host)
      finishPinRequest(PinRequest, false, 0);
}

void residency_simulation::restartEngine() {
  while (!Running.empty())
    finishRun(0);
  Loaded.clear();
  FenceSeen = 0;
  ++EngineIncarnation;
}

void residency_simulation::sendReport() {
  slot_report Report{EngineIncarnation, SlotCount, FenceSeen, {}, {}, Now};
  Report.Loaded.assign(Loaded.begin(), Loaded.end());
  Network.push_back({[this, Report] {
                       for (simulated_host &Host : Hosts)
                         if (Host.Owner.Engines.contains(Engine))
                           applyReport(Host.Owner.Engines[Engine], Report, Now);
                     },
                     [] {}, false});
}

void residency_simulation::settle(int Rounds) {
  FailLoads = false;
  for (simulated_host &Host : Hosts)
    Host.Paused = false;
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += milliseconds(1'000);
    renewLease(PlatformOwner);
    if (Now >= PlatformValidUntil)
      takeOwnership(Round % HostCount);
    while (!Running.empty())
      finishRun(0);
    sendReport();
    for (std::size_t Host = 0; Host < HostCount; ++Host) {
      refreshView(Host);
      sync(Host);
      runOwner(Host);
    }
    while (!Network.empty())
      deliverAt(0);
  }
}

std::size_t residency_simulation::serveEachAdapter() {
  std::size_t Served = 0;
  for (std::size_t Index = 0; Index < AdapterCount; ++Index) {
    const std::size_t Before = Runs;
    requestAdapter(Index % HostCount, adapterAt(Index));
    settle(8);
    Served += Runs > Before ? 1 : 0;
  }
  return Served;
}

std::size_t residency_simulation::openRequestCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      PinRequests,
      [this](const std::shared_ptr<simulated_pin_request> &PinRequest) {
        return PinRequest->Open &&
               Hosts[PinRequest->Host].Incarnation == PinRequest->Incarnation;
      }));
}

} // namespace spindle
