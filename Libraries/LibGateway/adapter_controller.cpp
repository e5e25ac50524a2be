#include "LibGateway/adapter_controller.h"

#include "LibCore/retry_after_error.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>
#include <atomic>
#include <set>

namespace spindle {

static constexpr milliseconds OrderTimeout{250};
static constexpr milliseconds ReportTimeout{500};
static constexpr milliseconds HoldPollInterval{10};
static constexpr milliseconds OrderPollInterval{30};
static constexpr milliseconds RefusalBackoff{60};
static constexpr milliseconds ModelPollInterval{300};
static constexpr milliseconds ModelLoadTimeout{15'000};
// An engine's registration shows a change within this time.
static constexpr milliseconds MaxRegistrationLag{2'000};
// The maximum age of the state that an engine reports.
static constexpr milliseconds MaxReportLag{450};
// An unresponsive engine gets no orders for this long.
static constexpr milliseconds UnresponsivePeriod{1'000};
// A single missing answer may be a lost message; an unresponsive engine misses
// several in a row.
static constexpr std::uint32_t UnresponsiveThreshold = 2;
// How long an order is repeated until the engine confirms its completion. The
// engine answers a repeat immediately with the current state; a load can take
// far longer than usual while many loads run.
static constexpr milliseconds CompletionTimeout{5'000};
// An adapter that the engine probably still has in memory is loaded within this
// time.
static constexpr milliseconds CachedLoadDelay{25};

/// The state of one engine and of the orders to it.
struct adapter_controller::managed_engine {
  upstream_pointer Entry;
  adapter_slots Slots;
  std::uint64_t OrderCount = 0;
  std::atomic<bool> OrderCountKnown{false};
  /// A request for the engine's state is in flight.
  std::atomic<bool> ResyncPending{false};
  /// Serializes orders, as each contains the count of the orders before it.
  boost::fibers::mutex OrderMutex;
  /// An unload is waiting for running requests; the engine accepts no other
  /// order until it completes.
  bool UnloadPending = false;
  /// The engine has restarted under the same name and has no adapters.
  std::atomic<bool> Restarted{false};
  /// When the last order was accepted. Earlier reports don't reflect it.
  time_point LastAcceptedAt;
  /// No orders are sent before this time, as the engine did not answer.
  std::atomic<time_point> UnresponsiveUntil{time_point()};
  /// The number of consecutive orders without an answer.
  std::uint32_t UnansweredOrders = 0;
  /// An order to load a base model is in progress.
  bool ModelLoadPending = false;
  /// Adapters that the engine had before and may still have in memory.
  std::set<adapter_name> PreviouslyLoaded;
};

adapter_controller::adapter_controller(const runtime_clock &Clock,
                                       fleet_table &Fleet,
                                       adapter_controller_ports Ports)
    : Clock(Clock), Fleet(Fleet), Ports(std::move(Ports)) {}

adapter_controller::~adapter_controller() = default;

adapter_controller::engine_pointer
adapter_controller::engineFor(const upstream_pointer &Entry) {
  engine_pointer Engine;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    engine_pointer &Known = Engines[Entry->Id];
    if (Known && Known->Entry->StartedAt == Entry->StartedAt) {
      Known->Slots.Capacity = Ports.Capacity(Entry->Service);
      return Known;
    }
    Known = std::make_shared<managed_engine>();
    Known->Entry = Entry;
    Known->Slots.Capacity = Ports.Capacity(Entry->Service);
    reconcile(Known->Slots, Entry->Adapters, {}, Clock.now());
    Engine = Known;
  }
  return Engine;
}

milliseconds adapter_controller::expectedLoadTime() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return milliseconds(static_cast<std::int64_t>(AverageLoadMilliseconds));
}

void adapter_controller::recordLoadTime(nanoseconds Took) {
  static constexpr double NewWeight = 0.2;
  static constexpr double MaxMilliseconds = 600;
  const std::chrono::duration<double, std::milli> Milliseconds = Took;
  const std::lock_guard<std::mutex> Lock(Mutex);
  AverageLoadMilliseconds += (std::min(Milliseconds.count(), MaxMilliseconds) -
                              AverageLoadMilliseconds) *
                             NewWeight;
}

/// Reads the engine's order count and adapters, after waiting until its reports
/// reflect the last order. Returns whether the engine answered. Precondition:
/// OrderMutex is held.
bool adapter_controller::resync(managed_engine &Engine) {
  const nanoseconds Since = Clock.now() - Engine.LastAcceptedAt;
  if (Since < MaxReportLag)
    sleepFor(MaxReportLag - Since);
  try {
    const engine_state State =
        Ports.Orders.Report(*Engine.Entry, ReportTimeout);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (State.StartedAt != Engine.Entry->StartedAt)
      Engine.Restarted = true;
    Engine.OrderCount = State.OrderCount;
    Engine.OrderCountKnown = true;
    reconcile(Engine.Slots, State.Loaded, State.Loading, Clock.now());
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::EngineReportMissing,
             {{"upstream", Engine.Entry->Name}, {"reason", Error.what()}});
    Engine.UnresponsiveUntil = Clock.now() + UnresponsivePeriod;
    return false;
  }
}

/// Requests the engine's state unless such a request is already in flight.
void adapter_controller::startResync(const engine_pointer &Engine) {
  if (Engine->ResyncPending.exchange(true))
    return;
  Ports.Spawn([this, Engine] {
    const std::lock_guard<boost::fibers::mutex> Lock(Engine->OrderMutex);
    if (!Engine->OrderCountKnown)
      resync(*Engine);
    Engine->ResyncPending.store(false);
  });
}

bool adapter_controller::isUnresponsive(const managed_engine &Engine) const {
  return Clock.now() < Engine.UnresponsiveUntil.load();
}

/// Updates the engine's state with the outcome of an order.
void adapter_controller::applyOrderOutcome(managed_engine &Engine,
                                           order_action Action,
                                           order_outcome Outcome,
                                           bool IsRepeat) {
  const bool Accepted =
      Outcome == order_outcome::Started ||
      (Outcome == order_outcome::Done && Action == order_action::Unload);
  if (Accepted && !IsRepeat) {
    ++Engine.OrderCount;
    Engine.LastAcceptedAt = Clock.now();
  }
  if (Action == order_action::Unload)
    Engine.UnloadPending = Outcome == order_outcome::Started;
  if (Outcome == order_outcome::OrderCountMismatch ||
      Outcome == order_outcome::Unknown)
    Engine.OrderCountKnown = false;
  if (Outcome != order_outcome::Unknown) {
    Engine.UnansweredOrders = 0;
    return;
  }
  // The engine may have accepted the order even though no answer arrived.
  Engine.LastAcceptedAt = Clock.now();
  if (++Engine.UnansweredOrders < UnresponsiveThreshold)
    return;
  Engine.UnresponsiveUntil = Clock.now() + UnresponsivePeriod;
  Fleet.noteOutcome(Engine.Entry->Id, call_outcome::Failure);
}

/// Returns whether the engine has more adapters, including pending loads, than
/// slots. This happens if it reports adapters that were unknown when the
/// pending loads were decided.
bool adapter_controller::isOverCapacity(const managed_engine &Engine) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Engine.Slots.Slots.size() <= Engine.Slots.Capacity)
    return false;
  logEvent(log_event::EngineOverfull,
           {{"upstream", Engine.Entry->Name},
            {"places", std::to_string(Engine.Slots.Slots.size())},
            {"capacity", std::to_string(Engine.Slots.Capacity)}});
  return true;
}

/// Sends one order and records its outcome. Blocks the fiber.
order_outcome adapter_controller::order(managed_engine &Engine,
                                        order_action Action,
                                        const versioned_adapter &Adapter,
                                        bool IsRepeat) {
  const bool IsUnloadRepeat = IsRepeat && Action == order_action::Unload;
  const time_point Start = Clock.now();
  std::unique_lock<boost::fibers::mutex> Lock(Engine.OrderMutex);
  while (Engine.UnloadPending && !IsUnloadRepeat &&
         Clock.now() - Start < CompletionTimeout) {
    Lock.unlock();
    sleepFor(OrderPollInterval);
    Lock.lock();
  }
  const std::optional<std::uint64_t> FencingToken =
      Ports.FencingToken(Engine.Entry->Zone);
  if (!FencingToken)
    return order_outcome::Fenced;
  if (!Engine.OrderCountKnown && !resync(Engine))
    return order_outcome::Unknown;
  // The recorded state belongs to the previous process of the engine.
  if (Engine.Restarted)
    return order_outcome::WrongUpstream;
  if (Action == order_action::Load && isOverCapacity(Engine))
    return order_outcome::Refused;
  adapter_order Order;
  Order.Action = Action;
  Order.Adapter = Adapter;
  Order.ExpectedCount = Engine.OrderCount;
  Order.Holder = Ports.Holder;
  Order.FencingToken = *FencingToken;
  const order_outcome Outcome =
      Ports.Orders.Order(*Engine.Entry, Order, OrderTimeout);
  logEvent(log_event::OrderGiven,
           {{"upstream", Engine.Entry->Name},
            {"action", Action == order_action::Load ? "load" : "unload"},
            {"adapter", Adapter.Name.Model + "/" + Adapter.Name.Adapter},
            {"version", std::to_string(Adapter.Version)},
            {"count", std::to_string(Engine.OrderCount)},
            {"fence", std::to_string(*FencingToken)},
            {"outcome", std::string(toText(Outcome))}});
  applyOrderOutcome(Engine, Action, Outcome, IsRepeat);
  if (Outcome == order_outcome::Fenced)
    Ports.OnFenced(*FencingToken);
  return Outcome;
}

/// Repeats the order until the engine confirms that the adapter is loaded. The
/// first repeat is sent before the load is expected to end, as otherwise the
/// estimate of the load time could never decrease.
void adapter_controller::waitUntilLoaded(managed_engine &Engine,
                                         const versioned_adapter &Adapter) {
  const time_point Start = Clock.now();
  bool LikelyCached = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    LikelyCached = !Engine.PreviouslyLoaded.insert(Adapter.Name).second;
  }
  sleepFor(LikelyCached ? CachedLoadDelay : expectedLoadTime() * 4 / 5);
  bool IsRepresentative = !LikelyCached;
  while (Clock.now() - Start < CompletionTimeout) {
    const order_outcome Outcome =
        order(Engine, order_action::Load, Adapter, true);
    if (Outcome == order_outcome::Done) {
      if (IsRepresentative)
        recordLoadTime(Clock.now() - Start);
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteLoaded(Engine.Slots, Adapter, Clock.now());
      return;
    }
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream)
      break;
    IsRepresentative = IsRepresentative && Outcome == order_outcome::Started;
    sleepFor(OrderPollInterval);
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Engine.OrderCountKnown = false;
  noteOutcomeUnknown(Engine.Slots, Adapter.Name);
}

void adapter_controller::runLoad(managed_engine &Engine,
                                 const versioned_adapter &Adapter) {
  const order_outcome Outcome =
      order(Engine, order_action::Load, Adapter, false);
  switch (Outcome) {
  case order_outcome::Started:
  case order_outcome::Unknown:
    waitUntilLoaded(Engine, Adapter);
    break;
  case order_outcome::Done: {
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteLoaded(Engine.Slots, Adapter, Clock.now());
    break;
  }
  case order_outcome::OrderCountMismatch:
  case order_outcome::Fenced:
  case order_outcome::WrongUpstream:
  case order_outcome::Refused: {
    // The adapter counts as loading during the back-off, so that it is not
    // ordered again.
    sleepFor(RefusalBackoff);
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteLoadFailed(Engine.Slots, Adapter.Name);
    break;
  }
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  const adapter_slot *const Slot = findAdapterSlot(Engine.Slots, Adapter.Name);
  if (Slot && Slot->State == adapter_slot_state::Loaded)
    Fleet.noteAdapter(Engine.Entry->Id, Slot->Adapter, true);
}

void adapter_controller::runUnload(managed_engine &Engine,
                                   const versioned_adapter &Victim) {
  Fleet.noteAdapter(Engine.Entry->Id, Victim, false);
  const time_point Start = Clock.now();
  bool IsRepeat = false;
  while (Clock.now() - Start < CompletionTimeout) {
    const order_outcome Outcome =
        order(Engine, order_action::Unload, Victim, IsRepeat);
    IsRepeat = IsRepeat || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteUnloaded(Engine.Slots, Victim.Name);
      return;
    }
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream ||
        Outcome == order_outcome::Refused)
      break;
    sleepFor(OrderPollInterval);
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Engine.OrderCountKnown = false;
  Engine.UnloadPending = false;
  noteLoaded(Engine.Slots, Victim, Clock.now());
}

/// Precondition: Mutex is held.
void adapter_controller::startLoad(const engine_pointer &Engine,
                                   const versioned_adapter &Adapter) {
  noteLoading(Engine->Slots, Adapter, Clock.now());
  Ports.Spawn([this, Engine, Adapter] { runLoad(*Engine, Adapter); });
}

/// Precondition: Mutex is held.
void adapter_controller::startUnload(const engine_pointer &Engine,
                                     const versioned_adapter &Victim) {
  noteUnloading(Engine->Slots, Victim.Name);
  Ports.Spawn([this, Engine, Victim] { runUnload(*Engine, Victim); });
}

/// The position of a request in the queue for slots. Leaves the queue on
/// destruction.
class adapter_controller::queue_position {
public:
  queue_position(adapter_controller &Controller, slot_queue &Queue,
                 adapter_name Adapter, const slot_request &SlotRequest)
      : Controller(Controller), Queue(Queue), Adapter(std::move(Adapter)),
        SlotRequest(SlotRequest) {}
  ~queue_position() {
    const std::lock_guard<std::mutex> Lock(Controller.Mutex);
    leave();
  }
  queue_position(const queue_position &) = delete;
  queue_position &operator=(const queue_position &) = delete;

  /// Precondition of all methods: the controller's Mutex is held.
  /// \throws retry_after_error if the request would expire before it gets a
  /// slot.
  void enter();
  void leave();
  const slot_queue &queue() const { return Queue; }
  void noteGranted(upstream_id Engine) const {
    if (Ticket)
      noteGrant(Queue, Adapter, Engine, Controller.Clock.now());
  }

private:
  adapter_controller &Controller;
  slot_queue &Queue;
  const adapter_name Adapter;
  const slot_request &SlotRequest;
  std::optional<std::uint64_t> Ticket;
};

void adapter_controller::queue_position::enter() {
  if (Ticket)
    return;
  const time_point Now = Controller.Clock.now();
  const std::optional<nanoseconds> Wait =
      expectedWait(Queue, Adapter, SlotRequest, Now);
  if (Wait && Now + *Wait > SlotRequest.UsefulUntil)
    throw retry_after_error(result_code::AdapterNotLoaded,
                            "all adapter slots of the zone's engines are in "
                            "use and none is expected "
                            "to become free in time",
                            std::chrono::duration_cast<milliseconds>(*Wait));
  Ticket = enterQueue(Queue, Adapter, SlotRequest);
}

void adapter_controller::queue_position::leave() {
  if (Ticket)
    leaveQueue(Queue, Adapter, *Ticket);
  Ticket.reset();
}

/// Returns the engines that this host controls and that respond. Requests the
/// state of engines for which it is unknown, and excludes them until they
/// answer.
std::vector<adapter_controller::engine_pointer>
adapter_controller::usableEngines(const slot_request &SlotRequest) {
  std::vector<engine_pointer> Known;
  bool IsLeader = false;
  bool IsRegistered = false;
  bool IsResyncing = false;
  for (const upstream_id Id : SlotRequest.Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Draining)
      continue;
    IsRegistered = true;
    if (!Ports.FencingToken(Entry->Zone))
      continue;
    IsLeader = true;
    const engine_pointer Engine = engineFor(Entry);
    if (Engine->OrderCountKnown) {
      Known.push_back(Engine);
      continue;
    }
    if (isUnresponsive(*Engine))
      continue;
    startResync(Engine);
    IsResyncing = true;
  }
  if (!IsRegistered)
    throw spindle_error(result_code::NoUpstream,
                        "every engine has left or is leaving");
  if (!IsLeader)
    throw spindle_error(result_code::NotOwner,
                        "this host is not the leader of the engine's zone");
  if (Known.empty() && !IsResyncing)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "none of the engines reports its state");
  return Known;
}

/// Takes the next step towards holding the adapter; see decidePlacement().
/// Returns its location if it is held. Precondition: Mutex is held.
std::optional<adapter_location>
adapter_controller::tryHold(std::span<const engine_pointer> Engines,
                            const versioned_adapter &Wanted,
                            queue_position &Position) {
  std::vector<placement_candidate> Candidates;
  Candidates.reserve(Engines.size());
  for (const engine_pointer &Engine : Engines)
    Candidates.push_back({Engine->Entry->Id, &Engine->Slots,
                          !isUnresponsive(*Engine),
                          Engine->PreviouslyLoaded.contains(Wanted.Name)});
  const placement_decision Decision =
      decidePlacement(Candidates, Wanted, Position.queue(), Clock.now());
  switch (Decision.Step) {
  case placement_step::Held: {
    const engine_pointer &Engine = Engines[Decision.Engine];
    return adapter_location{
        Engine->Entry->Id,
        findAdapterSlot(Engine->Slots, Wanted.Name)->Adapter};
  }
  case placement_step::LoadInProgress:
    Position.leave();
    break;
  case placement_step::Load:
    Position.noteGranted(Engines[Decision.Engine]->Entry->Id);
    Position.leave();
    startLoad(Engines[Decision.Engine], Wanted);
    break;
  case placement_step::Unload:
    Position.enter();
    startUnload(Engines[Decision.Engine], *Decision.Victim);
    break;
  case placement_step::Queue:
    Position.enter();
    break;
  case placement_step::Unresponsive:
    throw spindle_error(result_code::AdapterNotLoaded,
                        "none of the engines answers orders");
  }
  return std::nullopt;
}

std::optional<adapter_location>
adapter_controller::hold(const versioned_adapter &Wanted,
                         const slot_request &SlotRequest, time_point Until) {
  if (SlotRequest.Engines.empty())
    throw spindle_error(result_code::NoUpstream, "the request names no engine");
  const upstream_pointer First = Fleet.find(SlotRequest.Engines.front());
  slot_queue *Queue = nullptr;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Queue = &Queues[First ? First->Service : std::string()];
    Queue->SharesGrants = Queue->SharesGrants || SlotRequest.SharesGrants;
  }
  queue_position Position(*this, *Queue, Wanted.Name, SlotRequest);
  while (true) {
    const std::vector<engine_pointer> Engines = usableEngines(SlotRequest);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (!Engines.empty())
        if (std::optional<adapter_location> Held =
                tryHold(Engines, Wanted, Position))
          return Held;
    }
    if (Clock.now() >= Until)
      return std::nullopt;
    sleepFor(HoldPollInterval);
  }
}

std::vector<adapter_outlook>
adapter_controller::outlooks(std::span<const upstream_pointer> Entries,
                             const versioned_adapter &Wanted) {
  std::vector<engine_pointer> Known;
  for (const upstream_pointer &Entry : Entries) {
    Known.push_back(engineFor(Entry));
    if (!Known.back()->OrderCountKnown && !isUnresponsive(*Known.back()))
      startResync(Known.back());
  }
  std::vector<adapter_outlook> Outlooks;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const engine_pointer &Engine : Known) {
    adapter_outlook &Outlook = Outlooks.emplace_back();
    Outlook.Slots = outlookFor(Engine->Slots, Wanted, Clock.now());
    Outlook.LikelyHasCopy = Engine->PreviouslyLoaded.contains(Wanted.Name);
    if ((isUnresponsive(*Engine) || !Engine->OrderCountKnown) &&
        Outlook.Slots.Readiness != adapter_readiness::Ready)
      Outlook.Slots.Readiness = adapter_readiness::Unavailable;
  }
  return Outlooks;
}

bool adapter_controller::othersWaitForSlots(const std::string &Service,
                                            const adapter_name &Adapter) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Queues.find(Service);
  if (Found == Queues.end())
    return false;
  return Found->second.Waiting.size() >
         (Found->second.Waiting.contains(Adapter) ? 1U : 0U);
}

std::optional<std::uint64_t>
adapter_controller::holdLoaded(upstream_id Engine,
                               const versioned_adapter &Wanted) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Engines.find(Engine);
  if (Found == Engines.end())
    return std::nullopt;
  adapter_slots &Slots = Found->second->Slots;
  const slot_outlook Outlook = outlookFor(Slots, Wanted, Clock.now());
  if (Outlook.Readiness != adapter_readiness::Ready)
    return std::nullopt;
  planHold(Slots, Wanted, Clock.now());
  return findAdapterSlot(Slots, Wanted.Name)->Adapter.Version;
}

std::vector<available_slots> adapter_controller::listAvailableSlots() const {
  std::vector<available_slots> AvailableSlots;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    if (Ports.FencingToken(Engine->Entry->Zone))
      AvailableSlots.push_back(
          {Id, availableSlots(Engine->Slots, Clock.now())});
  return AvailableSlots;
}

void adapter_controller::noteMissing(upstream_id Id, const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Engines.find(Id);
  if (Found == Engines.end())
    return;
  // If the engine does have the adapter, it answers this load order
  // immediately.
  const adapter_slot *const Slot = findAdapterSlot(Found->second->Slots, Name);
  if (Slot && Slot->State == adapter_slot_state::Loaded && !Slot->OrderPending)
    startLoad(Found->second, Slot->Adapter);
}

void adapter_controller::setInUse(std::span<const adapter_use> Uses) {
  std::map<upstream_id, std::set<adapter_name>> ByEngine;
  for (const adapter_use &Use : Uses)
    ByEngine[Use.Engine].insert(Use.Adapter);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    spindle::setInUse(Engine->Slots, ByEngine[Id]);
}

void adapter_controller::loadModels() {
  for (const upstream_pointer &Entry : Fleet.all()) {
    if (Entry->Draining || !Entry->Models.empty() ||
        !Ports.FencingToken(Entry->Zone))
      continue;
    const std::string Model = Ports.ModelForEmptyEngine(Entry->Service);
    if (Model.empty())
      continue;
    const engine_pointer Engine = engineFor(Entry);
    if (Engine->ModelLoadPending || isUnresponsive(*Engine) ||
        !Ports.TryAcquireModelLoad())
      continue;
    Engine->ModelLoadPending = true;
    Ports.Spawn([this, Engine, Model] { runModelLoad(*Engine, Model); });
  }
}

/// Loads a base model on an engine without one. The engine accepts no other
/// order until the load ends, and then lists the model in its registration.
void adapter_controller::runModelLoad(managed_engine &Engine,
                                      const std::string &Model) {
  const versioned_adapter Wanted{{Model, ""}, 0};
  const time_point Start = Clock.now();
  bool Started = false;
  while (Clock.now() - Start < ModelLoadTimeout) {
    const order_outcome Outcome =
        order(Engine, order_action::Load, Wanted, Started);
    Started = Started || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done || Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream)
      break;
    sleepFor(ModelPollInterval);
    const upstream_pointer Entry = Fleet.find(Engine.Entry->Id);
    if (!Entry || !Entry->Models.empty() ||
        Entry->StartedAt != Engine.Entry->StartedAt)
      break;
  }
  sleepFor(MaxRegistrationLag);
  Engine.ModelLoadPending = false;
}

void adapter_controller::upgradeAdapters() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Draining || !Ports.FencingToken(Entry->Zone) ||
        Entry->StartedAt != Engine->Entry->StartedAt)
      continue;
    const std::vector<adapter_slot> Slots = Engine->Slots.Slots;
    for (const adapter_slot &Slot : Slots) {
      const std::uint64_t Newest = Ports.NewestVersion(Slot.Adapter.Name);
      if (Slot.State == adapter_slot_state::Loaded &&
          Slot.Adapter.Version < Newest)
        startLoad(Engine, {Slot.Adapter.Name, Newest});
    }
  }
}

std::string_view toText(order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Started:
    return "started";
  case order_outcome::Done:
    return "done";
  case order_outcome::OrderCountMismatch:
    return "count differs";
  case order_outcome::Fenced:
    return "fenced";
  case order_outcome::WrongUpstream:
    return "other upstream";
  case order_outcome::Refused:
    return "refused";
  case order_outcome::Unknown:
    return "no answer";
  }
  return "";
}

} // namespace spindle
