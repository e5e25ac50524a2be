#include "LibGateway/work_placer.h"

#include "LibCore/retry_after_error.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>

namespace spindle {

// How far below the best value that of an alternative engine may be.
static constexpr double MaxValueGap = 0.05;
// The same while all slots are in use: the request takes the first free one.
static constexpr double MaxValueGapWithoutSlot = 0.3;
// The highest factor that an engine's times are expected to have. Waits for
// requests that are not in the placer's records, as of hosts that could not
// reach the leader, seem to be slowness; they must not exclude an engine.
static constexpr double MaxTimeFactor = 2;
static constexpr milliseconds RoomPollInterval{10};
static constexpr milliseconds ReplanInterval{60};
static constexpr milliseconds DropInterval{1'000};
// A prompt that would be late at its engine waits at the leader until the
// engine has at most this left to read.
static constexpr milliseconds MaxBacklogIfLate{250};
// The part of an engine's memory that holds the parts of earlier prompts.
static constexpr double CachedPartsShare = 0.7;
// A reading time is a sample of the engine's speed only if the prompt waited
// for at most the time divided by this.
static constexpr int MaxWaitDivisor = 10;

work_placer::work_placer(const runtime_clock &Clock, fleet_table &Fleet,
                         adapter_controller &Controller, std::string Zone,
                         capacity_port Capacity)
    : Clock(Clock), Fleet(Fleet), Controller(Controller), Zone(std::move(Zone)),
      Capacity(std::move(Capacity)) {}

/// A request's entry in the work of an engine; removed on destruction unless
/// keep() was called.
class work_placer::reservation {
public:
  /// Adds the entry if the engine still has room: other requests may have been
  /// placed since \p Engine was planned.
  reservation(work_placer &Placer, const planned_engine &Engine,
              const placement_query &Query, const request_work &Work,
              nanoseconds Delay)
      : Placer(Placer), Engine(Engine.Id) {
    const std::lock_guard<std::mutex> Lock(Placer.Mutex);
    const auto Found = Placer.Engines.find(Engine.Id);
    if (Found == Placer.Engines.end())
      return;
    placed_work &Placed = Found->second.Work;
    engine_candidate Room = Engine.Candidate;
    Room.Work = &Placed;
    if (!hasRoom(Room, Query))
      return;
    // Tickets are not used twice, also not by an engine that begins anew.
    Placed.LastTicket = Placer.LastTicket;
    Ticket = addWork(Placed, Work, Placer.Clock.now(), Delay);
    Placer.LastTicket = Ticket;
  }
  ~reservation() {
    if (IsKept || !isTaken())
      return;
    const std::lock_guard<std::mutex> Lock(Placer.Mutex);
    const auto Found = Placer.Engines.find(Engine);
    if (Found != Placer.Engines.end())
      cancelWork(Found->second.Work, Ticket, Placer.Clock.now());
  }
  reservation(const reservation &) = delete;
  reservation &operator=(const reservation &) = delete;

  bool isTaken() const { return Ticket > 0; }
  void keep() { IsKept = true; }

private:
  work_placer &Placer;
  const upstream_id Engine;
  /// 0 if the engine had no room.
  std::uint64_t Ticket = 0;
  bool IsKept = false;
};

/// Precondition: Mutex is held.
work_placer::engine_record &
work_placer::recordOf(const upstream_entry &Entry,
                      const engine_capacity &Capacity) {
  engine_record &Record = Engines[Entry.Id];
  if (Record.StartedAt != Entry.StartedAt)
    Record = engine_record{};
  Record.StartedAt = Entry.StartedAt;
  Record.Prompts.setCapacity(static_cast<std::int64_t>(
      static_cast<double>(Capacity.CacheTokens) * CachedPartsShare));
  dropEnded(Record.Work, Clock.now());
  return Record;
}

/// Drops the engines that have left. Precondition: Mutex is held.
void work_placer::dropRemovedEngines(time_point Now) {
  if (Now < NextDropAt)
    return;
  NextDropAt = Now + DropInterval;
  std::erase_if(Engines, [this](const auto &Entry) {
    return Fleet.find(Entry.first) == nullptr;
  });
}

static std::uint32_t copiesIn(std::span<const adapter_outlook> Outlooks) {
  return static_cast<std::uint32_t>(std::count_if(
      Outlooks.begin(), Outlooks.end(), [](const adapter_outlook &Outlook) {
        return Outlook.Slots.Readiness == adapter_readiness::Ready ||
               Outlook.Slots.Readiness == adapter_readiness::Loading;
      }));
}

static double usesIn(std::span<const adapter_outlook> Outlooks) {
  double Uses = 0;
  for (const adapter_outlook &Outlook : Outlooks)
    Uses += Outlook.Slots.Uses;
  return Uses;
}

/// Sets how long reading and writing are expected to take on the engine during
/// the request.
static void applyFacts(engine_candidate &Candidate, const engine_facts &Facts,
                       const placement_query &Query, time_point Now) {
  const request_work Usual = workOn(Candidate, Query, placement_costs{});
  Candidate.ReadingFactor =
      std::min(MaxTimeFactor, expectedTimeFactor(Facts, Usual.Reading, Now));
  Candidate.WritingFactor =
      std::min(MaxTimeFactor, expectedTimeFactor(Facts, Usual.Writing, Now));
}

/// How long an engine of the usual speed would read the prompt; 0 if it waits
/// for others or the engine may have kept a part of it, so that its time is no
/// sample of the engine's speed.
static milliseconds usualReading(const engine_candidate &Engine,
                                 const placement_query &Query, time_point Now) {
  engine_candidate Usual = Engine;
  Usual.ReadingFactor = 1;
  const nanoseconds Reading = workOn(Usual, Query, placement_costs{}).Reading;
  if (Engine.CachedTokens > 0 ||
      readingBacklog(*Engine.Work, Now) * MaxWaitDivisor > Reading)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(Reading);
}

/// Makes engines without the adapter unavailable if others have it; called
/// while other adapters wait for slots. Load pattern: more adapters are asked
/// for than there are slots.
static void excludeNewCopies(std::span<adapter_outlook> Outlooks) {
  if (copiesIn(Outlooks) == 0)
    return;
  for (adapter_outlook &Outlook : Outlooks)
    if (Outlook.Slots.Readiness != adapter_readiness::Ready &&
        Outlook.Slots.Readiness != adapter_readiness::Loading)
      Outlook.Slots.Readiness = adapter_readiness::Unavailable;
}

work_placer::zone_view
work_placer::viewZone(const work_request &Request) const {
  upstream_query Query;
  Query.Service = Request.Service;
  Query.Model = &Request.Description;
  Query.Avoid = Request.Avoid;
  zone_view View;
  View.Engines = Fleet.placeable(Query, Zone);
  const std::optional<engine_capacity> Size = Capacity(Request.Service);
  if (View.Engines.empty() || !Size)
    throw spindle_error(result_code::NoUpstream,
                        "no engine of the zone may be sent the request");
  View.Size = *Size;
  if (Request.Description.Adapter.empty())
    return View;
  std::vector<upstream_pointer> Entries;
  Entries.reserve(View.Engines.size());
  for (const placeable_engine &Engine : View.Engines)
    Entries.push_back(Engine.Entry);
  const adapter_name Adapter{Request.Description.Model,
                             Request.Description.Adapter};
  View.Outlooks =
      Controller.outlooks(Entries, {Adapter, Request.AdapterVersion});
  if (Controller.othersWaitForSlots(Request.Service, Adapter))
    excludeNewCopies(View.Outlooks);
  return View;
}

/// Precondition: Mutex is held.
engine_candidate work_placer::candidate(const work_request &Request,
                                        const zone_view &View,
                                        std::size_t Index, time_point Now) {
  const placeable_engine &Engine = View.Engines[Index];
  const engine_record &Record = recordOf(*Engine.Entry, View.Size);
  engine_candidate Candidate;
  Candidate.Work = &Record.Work;
  Candidate.Health = Engine.Health;
  Candidate.BatchSlots = Engine.Entry->Slots;
  Candidate.MemoryTokens = View.Size.CacheTokens;
  if (!View.Outlooks.empty()) {
    const adapter_outlook &Outlook = View.Outlooks[Index];
    Candidate.Adapter = Outlook.Slots.Readiness;
    Candidate.LikelyHasCopy = Outlook.LikelyHasCopy;
    Candidate.VictimUses = Outlook.Slots.VictimUses;
  }
  if (Candidate.Adapter == adapter_readiness::Ready)
    Candidate.CachedTokens = Record.Prompts.cachedTokens(Request.Description);
  applyFacts(Candidate, Engine.Facts, Request.Query, Now);
  return Candidate;
}

/// Throws if no engine is expected to have room while the first event is of
/// use. Load pattern: the engines' memory is full of long outputs; the request
/// is of more use in another zone, or later.
static void refuseIfNoRoom(std::span<const engine_candidate> Engines,
                           const placement_query &Query, time_point Now) {
  std::optional<nanoseconds> Soonest;
  for (const engine_candidate &Engine : Engines) {
    const std::optional<nanoseconds> Wait = timeUntilRoom(Engine, Query, Now);
    if (Wait && (!Soonest || *Wait < *Soonest))
      Soonest = Wait;
  }
  if (!Soonest)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "no engine has the memory for the request");
  if (*Soonest > Query.Useful)
    throw retry_after_error(
        result_code::AdapterNotLoaded,
        "no engine will have room for the request while that is of use",
        std::chrono::ceil<milliseconds>(*Soonest));
}

std::optional<work_placer::placement_plan>
work_placer::plan(const work_request &Request) {
  const zone_view View = viewZone(Request);
  const time_point Now = Clock.now();
  placement_query Query = Request.Query;
  Query.Remaining = Request.Slot.OnTimeUntil - Now;
  Query.Useful = Request.Slot.UsefulUntil - Now;
  Query.AdapterUses = usesIn(View.Outlooks);
  Query.AdapterCopies = copiesIn(View.Outlooks);
  const std::lock_guard<std::mutex> Lock(Mutex);
  dropRemovedEngines(Now);
  std::vector<engine_candidate> Candidates;
  Candidates.reserve(View.Engines.size());
  for (std::size_t Index = 0; Index < View.Engines.size(); ++Index)
    Candidates.push_back(candidate(Request, View, Index, Now));
  const std::vector<engine_choice> Ranked =
      rankEngines(Candidates, Query, placement_costs{}, Now);
  if (Ranked.empty()) {
    refuseIfNoRoom(Candidates, Query, Now);
    return std::nullopt;
  }
  placement_plan Plan;
  Plan.Best = Ranked.front();
  Plan.EngineCount = Candidates.size();
  const engine_candidate &Best = Candidates[Plan.Best.Index];
  Plan.IsAdapterReady = Best.Adapter == adapter_readiness::Ready;
  Plan.UsualReading = usualReading(Best, Query, Now);
  const double Gap = Best.Adapter == adapter_readiness::NoSlot
                         ? MaxValueGapWithoutSlot
                         : MaxValueGap;
  for (const engine_choice &Choice : Ranked)
    if (Choice.Value >= Plan.Best.Value - Gap)
      Plan.Engines.push_back(
          {View.Engines[Choice.Index].Entry->Id, Candidates[Choice.Index]});
  return Plan;
}

/// Holds the adapter on one of the planned engines.
std::optional<adapter_location>
work_placer::holdAdapter(const work_request &Request,
                         const placement_plan &Plan, time_point Until) {
  const versioned_adapter Wanted{
      {Request.Description.Model, Request.Description.Adapter},
      Request.AdapterVersion};
  const upstream_id Best = Plan.Engines.front().Id;
  if (Plan.IsAdapterReady)
    if (const std::optional<std::uint64_t> Version =
            Controller.holdLoaded(Best, Wanted))
      return adapter_location{Best, {Wanted.Name, *Version}};
  slot_request Slot = Request.Slot;
  Slot.SharesGrants = true;
  for (const planned_engine &Engine : Plan.Engines)
    Slot.Engines.push_back(Engine.Id);
  return Controller.hold(Wanted, Slot, Until);
}

/// Reserves room on an engine other than the best, as the adapter was loaded
/// there first. Returns whether it has room.
bool work_placer::reserveAlternative(const work_request &Request,
                                     const placement_plan &Plan,
                                     upstream_id Engine) {
  const auto Planned = std::find_if(
      Plan.Engines.begin(), Plan.Engines.end(),
      [Engine](const planned_engine &Each) { return Each.Id == Engine; });
  if (Planned == Plan.Engines.end())
    return false;
  reservation Reserved(*this, *Planned, Request.Query, Plan.Best.Work,
                       nanoseconds(0));
  Reserved.keep();
  return Reserved.isTaken();
}

/// Returns none if the adapter is not held in time, or if the room is gone.
std::optional<placed_engine> work_placer::carryOut(const work_request &Request,
                                                   const placement_plan &Plan,
                                                   time_point Until) {
  const planned_engine &Best = Plan.Engines.front();
  reservation Reserved(*this, Best, Request.Query, Plan.Best.Work,
                       Plan.Best.Loading);
  if (!Reserved.isTaken())
    return std::nullopt;
  placed_engine Placed;
  Placed.Engine = Best.Id;
  if (!Request.Description.Adapter.empty()) {
    const std::optional<adapter_location> Location =
        holdAdapter(Request, Plan, Until);
    if (!Location)
      return std::nullopt;
    Placed.Engine = Location->Engine;
    Placed.Version = Location->Adapter.Version;
  }
  if (Placed.Engine == Best.Id)
    Reserved.keep();
  else if (!reserveAlternative(Request, Plan, Placed.Engine))
    return std::nullopt;
  if (Placed.Engine == Best.Id && Plan.Best.Loading == nanoseconds(0))
    Placed.UsualReading = Plan.UsualReading;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Engines.find(Placed.Engine);
  if (Found != Engines.end())
    Found->second.Prompts.note(Request.Description);
  return Placed;
}

/// A request's entry in the prompt queue; removed on destruction.
class work_placer::queue_position {
public:
  queue_position(work_placer &Placer, const work_request &Request)
      : Placer(Placer), Request(Request) {}
  ~queue_position() {
    const std::lock_guard<std::mutex> Lock(Placer.Mutex);
    leaveQueue(Placer.Queue, Ticket);
  }
  queue_position(const queue_position &) = delete;
  queue_position &operator=(const queue_position &) = delete;

  /// Whether the request may be sent as planned; if so, leaves the queue, else
  /// enters it.
  /// \throws retry_after_error if its turn would come too late to be of use.
  bool mayProceed(const placement_plan &Plan);
  /// Waits until it is probably the request's turn, for RoomPollInterval at
  /// least and ReplanInterval at most. Blocks the fiber.
  void wait();

private:
  bool isTurn(time_point Now) const;
  void refuseIfUseless(const placement_plan &Plan, time_point Now) const;

  work_placer &Placer;
  const work_request &Request;
  waiting_prompt Prompt;
  nanoseconds Loading{0};
  /// 0 while the request does not wait.
  std::uint64_t Ticket = 0;
};

/// Precondition: Mutex is held.
bool work_placer::queue_position::isTurn(time_point Now) const {
  const auto Found = Placer.Engines.find(Prompt.Engine);
  if (Found == Placer.Engines.end())
    return true;
  const nanoseconds InTime = Prompt.OnTimeUntil - Now - Prompt.Reading;
  const nanoseconds Limit = std::max<nanoseconds>(InTime, MaxBacklogIfLate);
  return readingBacklog(Found->second.Work, Now + Loading) <= Limit &&
         hasPriority(Placer.Queue, Ticket, Prompt, Now);
}

static std::int64_t toMilliseconds(nanoseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

/// Precondition: Mutex is held.
void work_placer::queue_position::refuseIfUseless(const placement_plan &Plan,
                                                  time_point Now) const {
  const nanoseconds Ahead =
      expectedWait(Placer.Queue, Ticket, Prompt, Plan.EngineCount, Now);
  const time_point FirstEvent = Now + Ahead + Plan.Best.FirstEvent;
  if (FirstEvent <= Request.Slot.UsefulUntil)
    return;
  throw retry_after_error(
      result_code::AdapterNotLoaded,
      "no engine would begin its answer while that is of use: " +
          std::to_string(toMilliseconds(Ahead)) + " ms ahead here, " +
          std::to_string(toMilliseconds(Plan.Best.FirstEvent)) +
          " ms there, of which " +
          std::to_string(toMilliseconds(Plan.Best.Loading)) +
          " ms for the adapter and " +
          std::to_string(toMilliseconds(Plan.Best.Work.Reading)) +
          " ms for its own prompt",
      std::chrono::duration_cast<milliseconds>(FirstEvent -
                                               Request.Slot.UsefulUntil));
}

bool work_placer::queue_position::mayProceed(const placement_plan &Plan) {
  Prompt.Claim = {Request.Slot.Urgency, Request.Slot.Customer};
  Prompt.Engine = Plan.Engines.front().Id;
  Prompt.Reading = Plan.Best.Work.Reading;
  Prompt.OnTimeUntil = Request.Slot.OnTimeUntil;
  Prompt.UsefulUntil = Request.Slot.UsefulUntil;
  Loading = Plan.Best.Loading;
  const time_point Now = Placer.Clock.now();
  const std::lock_guard<std::mutex> Lock(Placer.Mutex);
  refuseIfUseless(Plan, Now);
  if (Ticket > 0)
    updatePrompt(Placer.Queue, Ticket, Prompt);
  if (isTurn(Now)) {
    noteSent(Placer.Queue, Ticket);
    leaveQueue(Placer.Queue, Ticket);
    Ticket = 0;
    return true;
  }
  if (Ticket == 0)
    Ticket = enterQueue(Placer.Queue, Prompt);
  return false;
}

void work_placer::queue_position::wait() {
  const time_point Until = Placer.Clock.now() + ReplanInterval;
  while (true) {
    sleepFor(RoomPollInterval);
    const time_point Now = Placer.Clock.now();
    if (Now >= Until)
      return;
    const std::lock_guard<std::mutex> Lock(Placer.Mutex);
    if (Ticket == 0 || isTurn(Now))
      return;
  }
}

std::optional<placed_engine> work_placer::place(const work_request &Request,
                                                time_point Until) {
  Until = std::min(Until, Request.Slot.UsefulUntil);
  queue_position Position(*this, Request);
  while (true) {
    const std::optional<placement_plan> Plan = plan(Request);
    if (Plan && Position.mayProceed(*Plan))
      if (std::optional<placed_engine> Placed = carryOut(Request, *Plan, Until))
        return Placed;
    if (Clock.now() >= Until)
      return std::nullopt;
    Position.wait();
  }
}

std::size_t work_placer::waitingRequests() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Queue.Waiting.size();
}

std::size_t work_placer::placedRequests() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Now = Clock.now();
  std::size_t Count = 0;
  for (const auto &[Id, Record] : Engines)
    Count += static_cast<std::size_t>(std::count_if(
        Record.Work.Requests.begin(), Record.Work.Requests.end(),
        [Now](const placed_request &Each) { return Each.EndsAt > Now; }));
  return Count;
}

} // namespace spindle
