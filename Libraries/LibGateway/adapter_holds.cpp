#include "LibGateway/adapter_holds.h"

#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

// Holds expire this much earlier on this host, so that a request that is sent
// just before then still reaches the engine during the hold.
static constexpr milliseconds SendMargin{550};
// How much longer the leader's answer can take than the load that it waits for.
static constexpr milliseconds AnswerMargin{150};

adapter_holds::adapter_holds(const runtime_clock &Clock, fleet_table &Fleet,
                             zone_coordinator &Coordinator,
                             adapter_controller &Controller,
                             work_placer &Placer, host_link_port Peers,
                             host_link::Sender Self)
    : Clock(Clock), Fleet(Fleet), Coordinator(Coordinator),
      Controller(Controller), Placer(Placer), Peers(std::move(Peers)),
      Self(std::move(Self)) {}

void adapter_holds::noteNoSlots(const hold_query &Query) const {
  for (const upstream_pointer &Engine : Query.Engines)
    Fleet.noteAvailableSlots({Engine->Id, 0});
}

held_engine adapter_holds::useRegisteredAdapter(const hold_query &Query) const {
  if (Query.Wanted.Name.Adapter.empty())
    return {Query.Engines.front(), 0};
  for (const upstream_pointer &Engine : Query.Engines)
    for (const versioned_adapter &Adapter : Engine->Adapters)
      if (Adapter.Name == Query.Wanted.Name &&
          Adapter.Version >= Query.Wanted.Version)
        return {Engine, Adapter.Version};
  noteNoSlots(Query);
  throw spindle_error(
      result_code::NotOwner,
      "the leader of zone " + Query.Engines.front()->Zone +
          " cannot be asked for the adapter, and no engine has it registered");
}

/// Returns the engine, or null if it is none of those that the query allows.
static upstream_pointer findAllowed(const hold_query &Query,
                                    const fleet_table &Fleet,
                                    upstream_id Engine) {
  if (Query.Work)
    return Fleet.find(Engine);
  const auto Match = std::find_if(
      Query.Engines.begin(), Query.Engines.end(),
      [Engine](const upstream_pointer &Each) { return Each->Id == Engine; });
  return Match == Query.Engines.end() ? nullptr : *Match;
}

/// Records that \p Engine has the adapter. Returns none if the query does not
/// allow the engine.
std::optional<held_engine> adapter_holds::recordHold(const hold_query &Query,
                                                     upstream_id Engine,
                                                     std::uint64_t Version,
                                                     time_point RequestedAt) {
  const upstream_pointer Entry = findAllowed(Query, Fleet, Engine);
  if (!Entry)
    return std::nullopt;
  if (Query.Wanted.Name.Adapter.empty())
    return held_engine{Entry, 0};
  Fleet.noteAdapter(Engine, {Query.Wanted.Name, Version}, true);
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::erase_if(ActiveHolds, [RequestedAt](const auto &Active) {
    return Active.second.Until < RequestedAt;
  });
  ActiveHolds[{Engine, Query.Wanted.Name}] = {Version, RequestedAt + HoldTerm -
                                                           SendMargin};
  return held_engine{Entry, Version};
}

void adapter_holds::invalidate(const upstream_entry &Engine,
                               const adapter_name &Name) {
  Fleet.noteAdapter(Engine.Id, {Name, 0}, false);
  const std::lock_guard<std::mutex> Lock(Mutex);
  ActiveHolds.erase({Engine.Id, Name});
  RefusedAdapters.insert({Engine.Id, Name});
}

/// Returns whether the engine has refused a request for the adapter since the
/// last call, and clears this record.
bool adapter_holds::consumeRefusal(const upstream_entry &Engine,
                                   const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return RefusedAdapters.erase({Engine.Id, Name}) > 0;
}

std::optional<held_engine>
adapter_holds::findActiveHold(const hold_query &Query) const {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const upstream_pointer &Engine : Query.Engines) {
    const auto Found = ActiveHolds.find({Engine->Id, Query.Wanted.Name});
    if (Found != ActiveHolds.end() && Found->second.Until > Now &&
        Found->second.Version >= Query.Wanted.Version)
      return held_engine{Engine, Found->second.Version};
  }
  return std::nullopt;
}

std::optional<held_engine> adapter_holds::holdLocally(const hold_query &Query,
                                                      time_point Until) {
  const time_point RequestedAt = Clock.now();
  const upstream_entry &Preferred = *Query.Engines.front();
  if (consumeRefusal(Preferred, Query.Wanted.Name))
    Controller.noteMissing(Preferred.Id, Query.Wanted.Name);
  slot_request SlotRequest;
  for (const upstream_pointer &Engine : Query.Engines)
    SlotRequest.Engines.push_back(Engine->Id);
  SlotRequest.OnTimeUntil = Query.OnTimeUntil;
  SlotRequest.UsefulUntil = Query.UsefulUntil;
  SlotRequest.Urgency = Query.Urgency;
  const std::optional<adapter_location> Location =
      Controller.hold(Query.Wanted, SlotRequest, Until);
  if (!Location)
    return std::nullopt;
  return recordHold(Query, Location->Engine, Location->Adapter.Version,
                    RequestedAt);
}

std::optional<held_engine> adapter_holds::placeLocally(const hold_query &Query,
                                                       time_point Until) {
  const time_point RequestedAt = Clock.now();
  const upstream_entry &Preferred = *Query.Engines.front();
  if (consumeRefusal(Preferred, Query.Wanted.Name))
    Controller.noteMissing(Preferred.Id, Query.Wanted.Name);
  work_request Request;
  Request.Service = Query.Work->Service;
  Request.Description = *Query.Work->Description;
  Request.AdapterVersion = Query.Wanted.Version;
  Request.Query = Query.Work->Query;
  Request.Avoid = Query.Work->Avoid;
  Request.Slot.OnTimeUntil = Query.OnTimeUntil;
  Request.Slot.UsefulUntil = Query.UsefulUntil;
  Request.Slot.Urgency = Query.Urgency;
  Request.Slot.Customer = Query.Customer;
  boundTokens(Request);
  const std::optional<placed_engine> Placed = Placer.place(Request, Until);
  if (!Placed)
    return std::nullopt;
  std::optional<held_engine> Held =
      recordHold(Query, Placed->Engine, Placed->Version, RequestedAt);
  if (Held)
    Held->UsualReading = Placed->UsualReading;
  return Held;
}

static std::int64_t millisecondsUntil(time_point Time, time_point Now) {
  return std::chrono::duration_cast<milliseconds>(Time - Now).count();
}

std::optional<held_engine>
adapter_holds::requestFromLeader(const hold_query &Query,
                                 const endpoint &Leader, time_point Until) {
  const time_point RequestedAt = Clock.now();
  const milliseconds Wait{
      std::max<std::int64_t>(0, millisecondsUntil(Until, RequestedAt))};
  const upstream_entry &Preferred = *Query.Engines.front();
  host_link::HoldAdapterRequest Request;
  *Request.mutable_sender() = Self;
  if (Query.Work)
    writeWork(*Query.Work, *Request.mutable_work());
  for (const upstream_pointer &Engine : Query.Engines)
    if (!Query.Work || Engine == Query.Engines.front())
      Request.add_upstreams(Engine->Name);
  Request.set_model(Query.Wanted.Name.Model);
  Request.set_adapter(Query.Wanted.Name.Adapter);
  Request.set_version(Query.Wanted.Version);
  Request.set_wait_ms(Wait.count());
  Request.set_on_time_ms(millisecondsUntil(Query.OnTimeUntil, RequestedAt));
  Request.set_useful_ms(millisecondsUntil(Query.UsefulUntil, RequestedAt));
  Request.set_urgency(Query.Urgency);
  Request.set_customer(Query.Customer.Value);
  Request.set_missing(consumeRefusal(Preferred, Query.Wanted.Name));
  host_link::HoldAdapterReply Reply;
  try {
    Reply = Peers.HoldAdapter(Leader, Request, Wait + AnswerMargin);
  } catch (const spindle_error &Error) {
    logEvent(log_event::OwnerUnreachable,
             {{"lead", toText(Leader)}, {"cause", Error.what()}});
    Fleet.noteZoneSilent(Preferred.Zone);
    return useRegisteredAdapter(Query);
  }
  if (Reply.held()) {
    std::optional<held_engine> Held =
        recordHold(Query, upstream_id::ofName(Reply.upstream()),
                   Reply.version(), RequestedAt);
    // The leader may have an engine that this host has not received yet.
    if (!Held && Query.Work)
      return useRegisteredAdapter(Query);
    if (Held)
      Held->UsualReading = milliseconds(Reply.reading_ms());
    return Held;
  }
  if (!Query.Work)
    noteNoSlots(Query);
  if (Reply.waiting())
    return std::nullopt;
  if (Reply.retry_after_ms() > 0)
    throw retry_after_error(result_code::AdapterNotLoaded, Reply.message(),
                            milliseconds(Reply.retry_after_ms()));
  throw spindle_error(result_code::AdapterNotLoaded, Reply.message());
}

std::optional<held_engine> adapter_holds::hold(const hold_query &Query,
                                               time_point Until) {
  if (!Query.Work)
    if (std::optional<held_engine> Known = findActiveHold(Query))
      return Known;
  const std::string &Zone = Query.Engines.front()->Zone;
  if (Coordinator.fencingToken(Zone))
    return Query.Work ? placeLocally(Query, Until) : holdLocally(Query, Until);
  const std::optional<endpoint> Leader = Coordinator.leaderOf(Zone);
  if (!Leader || *Leader == Coordinator.link())
    return useRegisteredAdapter(Query);
  return requestFromLeader(Query, *Leader, Until);
}

host_link::HoldAdapterReply
adapter_holds::handlePlacement(const host_link::HoldAdapterRequest &Request) {
  host_link::HoldAdapterReply Reply;
  const time_point Now = Clock.now();
  const work_request Placement = readWork(Request, Now);
  try {
    const std::optional<placed_engine> Placed =
        Placer.place(Placement, readTime(Request.wait_ms(), Now));
    const upstream_pointer Engine =
        Placed ? Fleet.find(Placed->Engine) : nullptr;
    Reply.set_held(Engine != nullptr);
    Reply.set_waiting(!Engine);
    if (!Engine)
      return Reply;
    Reply.set_term_ms(HoldTerm.count());
    Reply.set_version(Placed->Version);
    Reply.set_upstream(Engine->Name);
    Reply.set_reading_ms(Placed->UsualReading.count());
  } catch (const retry_after_error &Error) {
    Reply.set_message(Error.what());
    Reply.set_retry_after_ms(Error.retryAfter().count());
  } catch (const spindle_error &Error) {
    Reply.set_message(Error.what());
  }
  return Reply;
}

host_link::HoldAdapterReply
adapter_holds::handleHold(const host_link::HoldAdapterRequest &Request) {
  host_link::HoldAdapterReply Reply;
  const versioned_adapter Wanted{{Request.model(), Request.adapter()},
                                 Request.version()};
  if (Request.missing() && Request.upstreams_size() > 0)
    Controller.noteMissing(upstream_id::ofName(Request.upstreams(0)),
                           Wanted.Name);
  if (Request.has_work())
    return handlePlacement(Request);
  const time_point Now = Clock.now();
  slot_request SlotRequest;
  std::map<upstream_id, std::string> Names;
  for (const std::string &Name : Request.upstreams()) {
    SlotRequest.Engines.push_back(upstream_id::ofName(Name));
    Names[SlotRequest.Engines.back()] = Name;
  }
  SlotRequest.OnTimeUntil = readTime(Request.on_time_ms(), Now);
  SlotRequest.UsefulUntil = readTime(Request.useful_ms(), Now);
  SlotRequest.Urgency = Request.urgency();
  try {
    const std::optional<adapter_location> Location =
        Controller.hold(Wanted, SlotRequest, readTime(Request.wait_ms(), Now));
    Reply.set_held(Location.has_value());
    Reply.set_waiting(!Location);
    if (!Location)
      return Reply;
    Reply.set_term_ms(HoldTerm.count());
    Reply.set_version(Location->Adapter.Version);
    Reply.set_upstream(Names[Location->Engine]);
  } catch (const spindle_error &Error) {
    Reply.set_message(Error.what());
  }
  return Reply;
}

} // namespace spindle
