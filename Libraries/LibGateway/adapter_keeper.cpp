#include "LibGateway/adapter_keeper.h"

#include "LibCore/retry_after_error.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>
#include <atomic>
#include <set>

namespace spindle {

static constexpr milliseconds OrderLimit{250};
static constexpr milliseconds ReportLimit{500};
static constexpr milliseconds HoldPause{10};
static constexpr milliseconds LoadedPause{30};
static constexpr milliseconds PauseAfterRefusal{60};
static constexpr milliseconds ModelPause{300};
static constexpr milliseconds LongestModelLoad{15'000};
// An engine's registration shows a change within this.
static constexpr milliseconds RegistrationLag{2'000};
// Reports are so old at most.
static constexpr milliseconds ReportLag{450};
// An engine that did not answer is left alone for so long.
static constexpr milliseconds SilencePause{1'000};
// Single answers get lost; an engine that is silent answers none.
static constexpr std::uint32_t UnansweredIfSilent = 2;
// An engine that is ordered again tells at once whether it is done; it may
// need far longer than usual while many loads run.
static constexpr milliseconds LongestLoad{5'000};
// What an engine probably still has in its memory is there after this.
static constexpr milliseconds FirstLook{25};

/// One engine and the orders to it.
struct adapter_keeper::kept_engine {
  upstream_pointer Entry;
  adapter_slots Slots;
  std::uint64_t OrderCount = 0;
  std::atomic<bool> CountKnown{false};
  /// It is being asked what it has.
  std::atomic<bool> SyncPending{false};
  /// Orders are sent one at a time, as each names the count before it.
  boost::fibers::mutex Ordering;
  /// An unload waits for requests that run; until it is done the engine takes
  /// no other order.
  bool UnloadPending = false;
  /// It has started anew under its name, and is empty.
  std::atomic<bool> Restarted{false};
  /// When the last order was accepted; reports of before don't show it.
  time_point AcceptedAt;
  /// No orders are tried until then, since the engine did not answer.
  std::atomic<time_point> SilentUntil{time_point()};
  /// Orders in a row that got no answer.
  std::uint32_t Unanswered = 0;
  /// An order to load a base model was given and is followed.
  bool ModelPending = false;
  /// Adapters that it had before, which it may have kept in its memory.
  std::set<adapter_name> Had;
};

adapter_keeper::adapter_keeper(const runtime_clock &Clock, fleet_table &Fleet,
                               adapter_keeper_ports Ports)
    : Clock(Clock), Fleet(Fleet), Ports(std::move(Ports)) {}

adapter_keeper::~adapter_keeper() = default;

adapter_keeper::engine_pointer
adapter_keeper::engineFor(const upstream_pointer &Entry) {
  engine_pointer Engine;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    engine_pointer &Known = Engines[Entry->Id];
    if (Known && Known->Entry->StartedAt == Entry->StartedAt) {
      Known->Slots.Capacity = Ports.Capacity(Entry->Service);
      return Known;
    }
    Known = std::make_shared<kept_engine>();
    Known->Entry = Entry;
    Known->Slots.Capacity = Ports.Capacity(Entry->Service);
    reconcile(Known->Slots, Entry->Adapters, {}, Clock.now());
    Engine = Known;
  }
  return Engine;
}

milliseconds adapter_keeper::loadEstimate() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return milliseconds(static_cast<std::int64_t>(LoadMilliseconds));
}

void adapter_keeper::noteLoadTook(nanoseconds Took) {
  static constexpr double NewWeight = 0.2;
  static constexpr double MostMilliseconds = 600;
  const std::chrono::duration<double, std::milli> Milliseconds = Took;
  const std::lock_guard<std::mutex> Lock(Mutex);
  LoadMilliseconds +=
      (std::min(Milliseconds.count(), MostMilliseconds) - LoadMilliseconds) *
      NewWeight;
}

/// Reads the engine's count of orders and what it has, once its reports show
/// the last order. Returns whether it answered. Precondition: Ordering is held.
bool adapter_keeper::resync(kept_engine &Engine) {
  const nanoseconds Since = Clock.now() - Engine.AcceptedAt;
  if (Since < ReportLag)
    sleepFor(ReportLag - Since);
  try {
    const engine_state State = Ports.Orders.Report(*Engine.Entry, ReportLimit);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (State.StartedAt != Engine.Entry->StartedAt)
      Engine.Restarted = true;
    Engine.OrderCount = State.OrderCount;
    Engine.CountKnown = true;
    reconcile(Engine.Slots, State.Loaded, State.Loading, Clock.now());
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::EngineReportMissing,
             {{"upstream", Engine.Entry->Name}, {"reason", Error.what()}});
    Engine.SilentUntil = Clock.now() + SilencePause;
    return false;
  }
}

/// Asks the engine what it has, unless it is being asked already.
void adapter_keeper::startResync(const engine_pointer &Engine) {
  if (Engine->SyncPending.exchange(true))
    return;
  Ports.Spawn([this, Engine] {
    const std::lock_guard<boost::fibers::mutex> Lock(Engine->Ordering);
    if (!Engine->CountKnown)
      resync(*Engine);
    Engine->SyncPending.store(false);
  });
}

bool adapter_keeper::isSilent(const kept_engine &Engine) const {
  return Clock.now() < Engine.SilentUntil.load();
}

/// Books what an order's outcome says of the engine.
void adapter_keeper::noteOrder(kept_engine &Engine, order_action Action,
                               order_outcome Outcome, bool IsRepeat) {
  const bool Accepted =
      Outcome == order_outcome::Started ||
      (Outcome == order_outcome::Done && Action == order_action::Unload);
  if (Accepted && !IsRepeat) {
    ++Engine.OrderCount;
    Engine.AcceptedAt = Clock.now();
  }
  if (Action == order_action::Unload)
    Engine.UnloadPending = Outcome == order_outcome::Started;
  if (Outcome == order_outcome::CountDiffers ||
      Outcome == order_outcome::Unknown)
    Engine.CountKnown = false;
  if (Outcome != order_outcome::Unknown) {
    Engine.Unanswered = 0;
    return;
  }
  // It may have been accepted just now.
  Engine.AcceptedAt = Clock.now();
  if (++Engine.Unanswered < UnansweredIfSilent)
    return;
  Engine.SilentUntil = Clock.now() + SilencePause;
  Fleet.noteOutcome(Engine.Entry->Id, call_outcome::Failure);
}

/// Whether the engine turned out to have adapters that were not known when
/// the loads that are ordered were decided on.
bool adapter_keeper::isOverfull(const kept_engine &Engine) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Engine.Slots.Slots.size() <= Engine.Slots.Capacity)
    return false;
  logEvent(log_event::EngineOverfull,
           {{"upstream", Engine.Entry->Name},
            {"places", std::to_string(Engine.Slots.Slots.size())},
            {"capacity", std::to_string(Engine.Slots.Capacity)}});
  return true;
}

/// Sends one order and books its outcome. Blocks the fiber.
order_outcome adapter_keeper::order(kept_engine &Engine, order_action Action,
                                    const loaded_adapter &Adapter,
                                    bool IsRepeat) {
  const bool IsUnloadRepeat = IsRepeat && Action == order_action::Unload;
  const time_point Start = Clock.now();
  std::unique_lock<boost::fibers::mutex> Lock(Engine.Ordering);
  while (Engine.UnloadPending && !IsUnloadRepeat &&
         Clock.now() - Start < LongestLoad) {
    Lock.unlock();
    sleepFor(LoadedPause);
    Lock.lock();
  }
  const std::optional<std::uint64_t> Fence = Ports.Fence(Engine.Entry->Zone);
  if (!Fence)
    return order_outcome::Fenced;
  if (!Engine.CountKnown && !resync(Engine))
    return order_outcome::Unknown;
  // What is known of it was known of its former process.
  if (Engine.Restarted)
    return order_outcome::OtherUpstream;
  if (Action == order_action::Load && isOverfull(Engine))
    return order_outcome::Refused;
  adapter_order Order;
  Order.Action = Action;
  Order.Adapter = Adapter;
  Order.ExpectedCount = Engine.OrderCount;
  Order.Holder = Ports.Holder;
  Order.Fence = *Fence;
  const order_outcome Outcome =
      Ports.Orders.Order(*Engine.Entry, Order, OrderLimit);
  logEvent(log_event::OrderGiven,
           {{"upstream", Engine.Entry->Name},
            {"action", Action == order_action::Load ? "load" : "unload"},
            {"adapter", Adapter.Name.Model + "/" + Adapter.Name.Adapter},
            {"version", std::to_string(Adapter.Version)},
            {"count", std::to_string(Engine.OrderCount)},
            {"fence", std::to_string(*Fence)},
            {"outcome", std::string(toText(Outcome))}});
  noteOrder(Engine, Action, Outcome, IsRepeat);
  if (Outcome == order_outcome::Fenced)
    Ports.OnFenced(*Fence);
  return Outcome;
}

/// Asks again until the engine says that it has the adapter. The first look
/// comes before the load usually ends, so that the estimate can fall as well.
void adapter_keeper::waitUntilLoaded(kept_engine &Engine,
                                     const loaded_adapter &Adapter) {
  const time_point Start = Clock.now();
  bool HadBefore = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    HadBefore = !Engine.Had.insert(Adapter.Name).second;
  }
  sleepFor(HadBefore ? FirstLook : loadEstimate() * 4 / 5);
  bool IsUsual = !HadBefore;
  while (Clock.now() - Start < LongestLoad) {
    const order_outcome Outcome =
        order(Engine, order_action::Load, Adapter, true);
    if (Outcome == order_outcome::Done) {
      if (IsUsual)
        noteLoadTook(Clock.now() - Start);
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteLoaded(Engine.Slots, Adapter, Clock.now());
      return;
    }
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::OtherUpstream)
      break;
    IsUsual = IsUsual && Outcome == order_outcome::Started;
    sleepFor(LoadedPause);
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Engine.CountKnown = false;
  noteOutcomeUnknown(Engine.Slots, Adapter.Name);
}

void adapter_keeper::runLoad(kept_engine &Engine,
                             const loaded_adapter &Adapter) {
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
  case order_outcome::CountDiffers:
  case order_outcome::Fenced:
  case order_outcome::OtherUpstream:
  case order_outcome::Refused: {
    // Until then the adapter counts as loading, so that nobody orders it.
    sleepFor(PauseAfterRefusal);
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

void adapter_keeper::runUnload(kept_engine &Engine,
                               const loaded_adapter &Victim) {
  Fleet.noteAdapter(Engine.Entry->Id, Victim, false);
  const time_point Start = Clock.now();
  bool IsRepeat = false;
  while (Clock.now() - Start < LongestLoad) {
    const order_outcome Outcome =
        order(Engine, order_action::Unload, Victim, IsRepeat);
    IsRepeat = IsRepeat || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteUnloaded(Engine.Slots, Victim.Name);
      return;
    }
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::OtherUpstream ||
        Outcome == order_outcome::Refused)
      break;
    sleepFor(LoadedPause);
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Engine.CountKnown = false;
  Engine.UnloadPending = false;
  noteLoaded(Engine.Slots, Victim, Clock.now());
}

/// Precondition: Mutex is held.
void adapter_keeper::startLoad(const engine_pointer &Engine,
                               const loaded_adapter &Adapter) {
  noteLoading(Engine->Slots, Adapter, Clock.now());
  Ports.Spawn([this, Engine, Adapter] { runLoad(*Engine, Adapter); });
}

/// Precondition: Mutex is held.
void adapter_keeper::startUnload(const engine_pointer &Engine,
                                 const loaded_adapter &Victim) {
  noteUnloading(Engine->Slots, Victim.Name);
  Ports.Spawn([this, Engine, Victim] { runUnload(*Engine, Victim); });
}

/// A request's place among those that wait, which it leaves at its end.
class adapter_keeper::queue_turn {
public:
  queue_turn(adapter_keeper &Keeper, slot_queue &Queue, adapter_name Adapter,
             const slot_request &Wish)
      : Keeper(Keeper), Queue(Queue), Adapter(std::move(Adapter)), Wish(Wish) {}
  ~queue_turn() {
    const std::lock_guard<std::mutex> Lock(Keeper.Mutex);
    leave();
  }
  queue_turn(const queue_turn &) = delete;
  queue_turn &operator=(const queue_turn &) = delete;

  /// Precondition of each: Keeper's Mutex is held.
  /// \throws retry_after_error if the turn would come too late.
  void enter();
  void leave();
  const slot_queue &queue() const { return Queue; }
  void noteGranted() const {
    if (Ticket)
      noteGrant(Queue, Keeper.Clock.now());
  }

private:
  adapter_keeper &Keeper;
  slot_queue &Queue;
  const adapter_name Adapter;
  const slot_request &Wish;
  std::optional<std::uint64_t> Ticket;
};

void adapter_keeper::queue_turn::enter() {
  if (Ticket)
    return;
  const time_point Now = Keeper.Clock.now();
  const std::optional<nanoseconds> Wait =
      expectedWait(Queue, Adapter, Wish, Now);
  if (Wait && Now + *Wait > Wish.UsefulUntil)
    throw retry_after_error(
        result_code::AdapterNotLoaded,
        "every adapter of the zone's engines is in use for too long",
        std::chrono::duration_cast<milliseconds>(*Wait));
  Ticket = enterQueue(Queue, Adapter, Wish);
}

void adapter_keeper::queue_turn::leave() {
  if (Ticket)
    leaveQueue(Queue, Adapter, *Ticket);
  Ticket.reset();
}

/// The engines that this host may order and that answer. Those of which it is
/// not known what they have are asked, and are left out until they answer.
std::vector<adapter_keeper::engine_pointer>
adapter_keeper::usableEngines(const slot_request &Wish) {
  std::vector<engine_pointer> Known;
  bool IsOwner = false;
  bool IsThere = false;
  bool IsAsked = false;
  for (const upstream_id Id : Wish.Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Leaving)
      continue;
    IsThere = true;
    if (!Ports.Fence(Entry->Zone))
      continue;
    IsOwner = true;
    const engine_pointer Engine = engineFor(Entry);
    if (Engine->CountKnown) {
      Known.push_back(Engine);
      continue;
    }
    if (isSilent(*Engine))
      continue;
    startResync(Engine);
    IsAsked = true;
  }
  if (!IsThere)
    throw spindle_error(result_code::NoUpstream, "the engine is gone");
  if (!IsOwner)
    throw spindle_error(result_code::NotOwner,
                        "this host gives no orders in the engine's zone");
  if (Known.empty() && !IsAsked)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "the engine does not answer");
  return Known;
}

/// One look of a request at the engines; see decidePlacement(). Returns where
/// the adapter is held. Precondition: Mutex is held.
std::optional<kept_adapter>
adapter_keeper::step(std::span<const engine_pointer> Engines,
                     const loaded_adapter &Wanted, queue_turn &Turn) {
  std::vector<placement_candidate> Candidates;
  Candidates.reserve(Engines.size());
  for (const engine_pointer &Engine : Engines)
    Candidates.push_back({Engine->Entry->Id, &Engine->Slots, !isSilent(*Engine),
                          Engine->Had.contains(Wanted.Name)});
  const placement_decision Decision =
      decidePlacement(Candidates, Wanted, Turn.queue(), Clock.now());
  switch (Decision.Step) {
  case placement_step::Held: {
    const engine_pointer &Engine = Engines[Decision.Engine];
    return kept_adapter{Engine->Entry->Id,
                        findAdapterSlot(Engine->Slots, Wanted.Name)->Adapter};
  }
  case placement_step::LoadInProgress:
    Turn.leave();
    break;
  case placement_step::Load:
    Turn.noteGranted();
    Turn.leave();
    startLoad(Engines[Decision.Engine], Wanted);
    break;
  case placement_step::Unload:
    Turn.enter();
    startUnload(Engines[Decision.Engine], *Decision.Victim);
    break;
  case placement_step::Queue:
    Turn.enter();
    break;
  case placement_step::Unresponsive:
    throw spindle_error(result_code::AdapterNotLoaded,
                        "the engine does not answer orders");
  }
  return std::nullopt;
}

std::optional<kept_adapter> adapter_keeper::hold(const loaded_adapter &Wanted,
                                                 const slot_request &Wish,
                                                 time_point Until) {
  if (Wish.Engines.empty())
    throw spindle_error(result_code::NoUpstream, "no engine is named");
  const upstream_pointer First = Fleet.find(Wish.Engines.front());
  slot_queue *Queue = nullptr;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Queue = &Queues[First ? First->Service : std::string()];
  }
  queue_turn Turn(*this, *Queue, Wanted.Name, Wish);
  while (true) {
    const std::vector<engine_pointer> Engines = usableEngines(Wish);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (!Engines.empty())
        if (std::optional<kept_adapter> Held = step(Engines, Wanted, Turn))
          return Held;
    }
    if (Clock.now() >= Until)
      return std::nullopt;
    sleepFor(HoldPause);
  }
}

std::vector<available_slots> adapter_keeper::rooms() const {
  std::vector<available_slots> Rooms;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    if (Ports.Fence(Engine->Entry->Zone))
      Rooms.push_back({Id, availableSlots(Engine->Slots, Clock.now())});
  return Rooms;
}

void adapter_keeper::noteMissing(upstream_id Id, const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Engines.find(Id);
  if (Found == Engines.end())
    return;
  // The next hold orders a load, which the engine answers at once if it has
  // the adapter after all.
  const adapter_slot *const Slot = findAdapterSlot(Found->second->Slots, Name);
  if (Slot && Slot->State == adapter_slot_state::Loaded && !Slot->OrderPending)
    startLoad(Found->second, Slot->Adapter);
}

void adapter_keeper::setInUse(std::span<const adapter_use> Uses) {
  std::map<upstream_id, std::set<adapter_name>> ByEngine;
  for (const adapter_use &Use : Uses)
    ByEngine[Use.Engine].insert(Use.Adapter);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    spindle::setInUse(Engine->Slots, ByEngine[Id]);
}

void adapter_keeper::loadModels() {
  for (const upstream_pointer &Entry : Fleet.all()) {
    if (Entry->Leaving || !Entry->Models.empty() || !Ports.Fence(Entry->Zone))
      continue;
    const std::string Model = Ports.MissingModel(Entry->Service);
    if (Model.empty())
      continue;
    const engine_pointer Engine = engineFor(Entry);
    if (Engine->ModelPending || isSilent(*Engine) || !Ports.MayLoadModel())
      continue;
    Engine->ModelPending = true;
    Ports.Spawn([this, Engine, Model] { runModelLoad(*Engine, Model); });
  }
}

/// Loads a base model into an empty engine, which takes no other order until
/// it is done. Its registration tells when it is.
void adapter_keeper::runModelLoad(kept_engine &Engine,
                                  const std::string &Model) {
  const loaded_adapter Wanted{{Model, ""}, 0};
  const time_point Start = Clock.now();
  bool Started = false;
  while (Clock.now() - Start < LongestModelLoad) {
    const order_outcome Outcome =
        order(Engine, order_action::Load, Wanted, Started);
    Started = Started || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done || Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::OtherUpstream)
      break;
    sleepFor(ModelPause);
    const upstream_pointer Entry = Fleet.find(Engine.Entry->Id);
    if (!Entry || !Entry->Models.empty() ||
        Entry->StartedAt != Engine.Entry->StartedAt)
      break;
  }
  sleepFor(RegistrationLag);
  Engine.ModelPending = false;
}

void adapter_keeper::renewVersions() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Leaving || !Ports.Fence(Entry->Zone) ||
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
  case order_outcome::CountDiffers:
    return "count differs";
  case order_outcome::Fenced:
    return "fenced";
  case order_outcome::OtherUpstream:
    return "other upstream";
  case order_outcome::Refused:
    return "refused";
  case order_outcome::Unknown:
    return "no answer";
  }
  return "";
}

} // namespace spindle
