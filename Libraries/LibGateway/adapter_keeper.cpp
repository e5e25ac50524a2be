#include "LibGateway/adapter_keeper.h"

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
// An engine's registration shows a change within this.
static constexpr milliseconds MaxRegistrationLag{2'000};
// Reports are so old at most.
static constexpr milliseconds MaxReportLag{450};
// An engine that did not answer is left alone for so long.
static constexpr milliseconds UnresponsivePeriod{1'000};
// Single answers get lost; an engine that is silent answers none.
static constexpr std::uint32_t UnresponsiveThreshold = 2;
// An engine that is ordered again tells at once whether it is done; it may
// need far longer than usual while many loads run.
static constexpr milliseconds CompletionTimeout{5'000};
// What an engine probably still has in its memory is there after this.
static constexpr milliseconds CachedLoadDelay{25};

/// One engine and the orders to it.
struct adapter_controller::managed_engine {
  upstream_pointer Entry;
  engine_places Places;
  std::uint64_t OrderCount = 0;
  std::atomic<bool> OrderCountKnown{false};
  /// It is being asked what it has.
  std::atomic<bool> ResyncPending{false};
  /// Orders are sent one at a time, as each names the count before it.
  boost::fibers::mutex OrderMutex;
  /// An unload waits for requests that run; until it is done the engine takes
  /// no other order.
  bool UnloadPending = false;
  /// It has started anew under its name, and is empty.
  std::atomic<bool> Restarted{false};
  /// When the last order was accepted; reports of before don't show it.
  time_point LastAcceptedAt;
  /// No orders are tried until then, since the engine did not answer.
  std::atomic<time_point> UnresponsiveUntil{time_point()};
  /// Orders in a row that got no answer.
  std::uint32_t UnansweredOrders = 0;
  /// An order to load a base model was given and is followed.
  bool ModelLoadPending = false;
  /// Adapters that it had before, which it may have kept in its memory.
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
      Known->Places.Capacity = Ports.Capacity(Entry->Service);
      return Known;
    }
    Known = std::make_shared<managed_engine>();
    Known->Entry = Entry;
    Known->Places.Capacity = Ports.Capacity(Entry->Service);
    reconcile(Known->Places, Entry->Adapters, {}, Clock.now());
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

/// Reads the engine's count of orders and what it has, once its reports show
/// the last order. Returns whether it answered. Precondition: Ordering is held.
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
    reconcile(Engine.Places, State.Loaded, State.Loading, Clock.now());
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::EngineReportMissing,
             {{"upstream", Engine.Entry->Name}, {"reason", Error.what()}});
    Engine.UnresponsiveUntil = Clock.now() + UnresponsivePeriod;
    return false;
  }
}

/// Asks the engine what it has, unless it is being asked already.
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

/// Books what an order's outcome says of the engine.
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
  // It may have been accepted just now.
  Engine.LastAcceptedAt = Clock.now();
  if (++Engine.UnansweredOrders < UnresponsiveThreshold)
    return;
  Engine.UnresponsiveUntil = Clock.now() + UnresponsivePeriod;
  Fleet.noteOutcome(Engine.Entry->Id, call_outcome::Failure);
}

/// Whether the engine turned out to have adapters that were not known when
/// the loads that are ordered were decided on.
bool adapter_controller::isOverCapacity(const managed_engine &Engine) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Engine.Places.Places.size() <= Engine.Places.Capacity)
    return false;
  logEvent(log_event::EngineOverfull,
           {{"upstream", Engine.Entry->Name},
            {"places", std::to_string(Engine.Places.Places.size())},
            {"capacity", std::to_string(Engine.Places.Capacity)}});
  return true;
}

/// Sends one order and books its outcome. Blocks the fiber.
order_outcome adapter_controller::order(managed_engine &Engine,
                                        order_action Action,
                                        const loaded_adapter &Adapter,
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
  // What is known of it was known of its former process.
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

/// Asks again until the engine says that it has the adapter. The first look
/// comes before the load usually ends, so that the estimate can fall as well.
void adapter_controller::waitUntilLoaded(managed_engine &Engine,
                                         const loaded_adapter &Adapter) {
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
      noteLoaded(Engine.Places, Adapter, Clock.now());
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
  noteUnsettled(Engine.Places, Adapter.Name);
}

void adapter_controller::runLoad(managed_engine &Engine,
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
    noteLoaded(Engine.Places, Adapter, Clock.now());
    break;
  }
  case order_outcome::OrderCountMismatch:
  case order_outcome::Fenced:
  case order_outcome::WrongUpstream:
  case order_outcome::Refused: {
    // Until then the adapter counts as loading, so that nobody orders it.
    sleepFor(RefusalBackoff);
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteFailed(Engine.Places, Adapter.Name);
    break;
  }
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  const adapter_place *const Place = findPlace(Engine.Places, Adapter.Name);
  if (Place && Place->State == place_state::Loaded)
    Fleet.noteAdapter(Engine.Entry->Id, Place->Adapter, true);
}

void adapter_controller::runUnload(managed_engine &Engine,
                                   const loaded_adapter &Victim) {
  Fleet.noteAdapter(Engine.Entry->Id, Victim, false);
  const time_point Start = Clock.now();
  bool IsRepeat = false;
  while (Clock.now() - Start < CompletionTimeout) {
    const order_outcome Outcome =
        order(Engine, order_action::Unload, Victim, IsRepeat);
    IsRepeat = IsRepeat || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteGone(Engine.Places, Victim.Name);
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
  noteLoaded(Engine.Places, Victim, Clock.now());
}

/// Precondition: Mutex is held.
void adapter_controller::startLoad(const engine_pointer &Engine,
                                   const loaded_adapter &Adapter) {
  noteLoading(Engine->Places, Adapter, Clock.now());
  Ports.Spawn([this, Engine, Adapter] { runLoad(*Engine, Adapter); });
}

/// Precondition: Mutex is held.
void adapter_controller::startUnload(const engine_pointer &Engine,
                                     const loaded_adapter &Victim) {
  noteUnloading(Engine->Places, Victim.Name);
  Ports.Spawn([this, Engine, Victim] { runUnload(*Engine, Victim); });
}

/// A request's place among those that wait, which it leaves at its end.
class adapter_controller::queue_position {
public:
  queue_position(adapter_controller &Controller, place_queue &Queue,
                 adapter_name Adapter, const place_wish &SlotRequest)
      : Controller(Controller), Queue(Queue), Adapter(std::move(Adapter)),
        SlotRequest(SlotRequest) {}
  ~queue_position() {
    const std::lock_guard<std::mutex> Lock(Controller.Mutex);
    leave();
  }
  queue_position(const queue_position &) = delete;
  queue_position &operator=(const queue_position &) = delete;

  /// Precondition of each: Keeper's Mutex is held.
  /// \throws retry_after_error if the turn would come too late.
  void enter();
  void leave();
  const place_queue &queue() const { return Queue; }
  void noteGranted() const {
    if (Ticket)
      noteGrant(Queue, Controller.Clock.now());
  }

private:
  adapter_controller &Controller;
  place_queue &Queue;
  const adapter_name Adapter;
  const place_wish &SlotRequest;
  std::optional<std::uint64_t> Ticket;
};

void adapter_controller::queue_position::enter() {
  if (Ticket)
    return;
  const time_point Now = Controller.Clock.now();
  const std::optional<nanoseconds> Wait =
      expectedWait(Queue, Adapter, SlotRequest, Now);
  if (Wait && Now + *Wait > SlotRequest.UsefulUntil)
    throw retry_after_error(
        result_code::AdapterNotLoaded,
        "every adapter of the zone's engines is in use for too long",
        std::chrono::duration_cast<milliseconds>(*Wait));
  Ticket = enterQueue(Queue, Adapter, SlotRequest);
}

void adapter_controller::queue_position::leave() {
  if (Ticket)
    leaveQueue(Queue, Adapter, *Ticket);
  Ticket.reset();
}

/// The engines that this host may order and that answer. Those of which it is
/// not known what they have are asked, and are left out until they answer.
std::vector<adapter_controller::engine_pointer>
adapter_controller::usableEngines(const place_wish &SlotRequest) {
  std::vector<engine_pointer> Known;
  bool IsLeader = false;
  bool IsRegistered = false;
  bool IsResyncing = false;
  for (const upstream_id Id : SlotRequest.Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Leaving)
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
    throw spindle_error(result_code::NoUpstream, "the engine is gone");
  if (!IsLeader)
    throw spindle_error(result_code::NotOwner,
                        "this host gives no orders in the engine's zone");
  if (Known.empty() && !IsResyncing)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "the engine does not answer");
  return Known;
}

/// One look of a request at the engines; see decidePlace(). Returns where the
/// adapter is held. Precondition: Mutex is held.
std::optional<adapter_location>
adapter_controller::tryHold(std::span<const engine_pointer> Engines,
                            const loaded_adapter &Wanted,
                            queue_position &Position) {
  std::vector<place_engine> Candidates;
  Candidates.reserve(Engines.size());
  for (const engine_pointer &Engine : Engines)
    Candidates.push_back({Engine->Entry->Id, &Engine->Places,
                          !isUnresponsive(*Engine),
                          Engine->PreviouslyLoaded.contains(Wanted.Name)});
  const place_decision Decision =
      decidePlace(Candidates, Wanted, Position.queue(), Clock.now());
  switch (Decision.Step) {
  case place_step::Held: {
    const engine_pointer &Engine = Engines[Decision.Engine];
    return adapter_location{Engine->Entry->Id,
                            findPlace(Engine->Places, Wanted.Name)->Adapter};
  }
  case place_step::UnderWay:
    Position.leave();
    break;
  case place_step::Load:
    Position.noteGranted();
    Position.leave();
    startLoad(Engines[Decision.Engine], Wanted);
    break;
  case place_step::Unload:
    Position.enter();
    startUnload(Engines[Decision.Engine], *Decision.Victim);
    break;
  case place_step::Queue:
    Position.enter();
    break;
  case place_step::Silent:
    throw spindle_error(result_code::AdapterNotLoaded,
                        "the engine does not answer orders");
  }
  return std::nullopt;
}

std::optional<adapter_location>
adapter_controller::hold(const loaded_adapter &Wanted,
                         const place_wish &SlotRequest, time_point Until) {
  if (SlotRequest.Engines.empty())
    throw spindle_error(result_code::NoUpstream, "no engine is named");
  const upstream_pointer First = Fleet.find(SlotRequest.Engines.front());
  place_queue *Queue = nullptr;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Queue = &Queues[First ? First->Service : std::string()];
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

std::vector<engine_room> adapter_controller::listAvailableSlots() const {
  std::vector<engine_room> AvailableSlots;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    if (Ports.FencingToken(Engine->Entry->Zone))
      AvailableSlots.push_back({Id, roomOf(Engine->Places, Clock.now())});
  return AvailableSlots;
}

void adapter_controller::noteMissing(upstream_id Id, const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Engines.find(Id);
  if (Found == Engines.end())
    return;
  // The next hold orders a load, which the engine answers at once if it has
  // the adapter after all.
  const adapter_place *const Place = findPlace(Found->second->Places, Name);
  if (Place && Place->State == place_state::Loaded && !Place->Ordered)
    startLoad(Found->second, Place->Adapter);
}

void adapter_controller::setInUse(std::span<const adapter_use> Uses) {
  std::map<upstream_id, std::set<adapter_name>> ByEngine;
  for (const adapter_use &Use : Uses)
    ByEngine[Use.Engine].insert(Use.Adapter);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Engine] : Engines)
    spindle::setInUse(Engine->Places, ByEngine[Id]);
}

void adapter_controller::loadModels() {
  for (const upstream_pointer &Entry : Fleet.all()) {
    if (Entry->Leaving || !Entry->Models.empty() ||
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

/// Loads a base model into an empty engine, which takes no other order until
/// it is done. Its registration tells when it is.
void adapter_controller::runModelLoad(managed_engine &Engine,
                                      const std::string &Model) {
  const loaded_adapter Wanted{{Model, ""}, 0};
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
    if (!Entry || Entry->Leaving || !Ports.FencingToken(Entry->Zone) ||
        Entry->StartedAt != Engine->Entry->StartedAt)
      continue;
    const std::vector<adapter_place> Places = Engine->Places.Places;
    for (const adapter_place &Place : Places) {
      const std::uint64_t Newest = Ports.NewestVersion(Place.Adapter.Name);
      if (Place.State == place_state::Loaded && Place.Adapter.Version < Newest)
        startLoad(Engine, {Place.Adapter.Name, Newest});
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
