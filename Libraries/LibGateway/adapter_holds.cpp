#include "LibGateway/adapter_holds.h"

#include "LibCore/result_code.h"
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
                             host_link_port Peers, host_link::Sender Self)
    : Clock(Clock), Fleet(Fleet), Coordinator(Coordinator),
      Controller(Controller), Peers(std::move(Peers)), Self(std::move(Self)) {}

void adapter_holds::noteNoSlots(const hold_query &Query) const {
  for (const upstream_pointer &Engine : Query.Engines)
    Fleet.noteAvailableSlots({Engine->Id, 0});
}

held_engine adapter_holds::useRegisteredAdapter(const hold_query &Query) const {
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

/// Records that \p Engine has the adapter. Returns none if the query does not
/// name the engine.
std::optional<held_engine> adapter_holds::recordHold(const hold_query &Query,
                                                     upstream_id Engine,
                                                     std::uint64_t Version,
                                                     time_point RequestedAt) {
  const auto Match = std::find_if(
      Query.Engines.begin(), Query.Engines.end(),
      [Engine](const upstream_pointer &Each) { return Each->Id == Engine; });
  if (Match == Query.Engines.end())
    return std::nullopt;
  Fleet.noteAdapter(Engine, {Query.Wanted.Name, Version}, true);
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::erase_if(ActiveHolds, [RequestedAt](const auto &Entry) {
    return Entry.second.Until < RequestedAt;
  });
  ActiveHolds[{Engine, Query.Wanted.Name}] = {Version, RequestedAt + HoldTerm -
                                                           SendMargin};
  return held_engine{*Match, Version};
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
  for (const upstream_pointer &Engine : Query.Engines)
    Request.add_upstreams(Engine->Name);
  Request.set_model(Query.Wanted.Name.Model);
  Request.set_adapter(Query.Wanted.Name.Adapter);
  Request.set_version(Query.Wanted.Version);
  Request.set_wait_ms(Wait.count());
  Request.set_on_time_ms(millisecondsUntil(Query.OnTimeUntil, RequestedAt));
  Request.set_useful_ms(millisecondsUntil(Query.UsefulUntil, RequestedAt));
  Request.set_urgency(Query.Urgency);
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
  if (Reply.held())
    return recordHold(Query, upstream_id::ofName(Reply.upstream()),
                      Reply.version(), RequestedAt);
  noteNoSlots(Query);
  if (Reply.waiting())
    return std::nullopt;
  throw spindle_error(result_code::AdapterNotLoaded, Reply.message());
}

std::optional<held_engine> adapter_holds::hold(const hold_query &Query,
                                               time_point Until) {
  if (std::optional<held_engine> Known = findActiveHold(Query))
    return Known;
  const std::string &Zone = Query.Engines.front()->Zone;
  if (Coordinator.fencingToken(Zone))
    return holdLocally(Query, Until);
  const std::optional<endpoint> Leader = Coordinator.leaderOf(Zone);
  if (!Leader || *Leader == Coordinator.link())
    return useRegisteredAdapter(Query);
  return requestFromLeader(Query, *Leader, Until);
}

host_link::HoldAdapterReply
adapter_holds::handleHold(const host_link::HoldAdapterRequest &Request) {
  host_link::HoldAdapterReply Reply;
  const versioned_adapter Wanted{{Request.model(), Request.adapter()},
                                 Request.version()};
  if (Request.missing() && Request.upstreams_size() > 0)
    Controller.noteMissing(upstream_id::ofName(Request.upstreams(0)),
                           Wanted.Name);
  const time_point Now = Clock.now();
  slot_request SlotRequest;
  std::map<upstream_id, std::string> Names;
  for (const std::string &Name : Request.upstreams()) {
    SlotRequest.Engines.push_back(upstream_id::ofName(Name));
    Names[SlotRequest.Engines.back()] = Name;
  }
  SlotRequest.OnTimeUntil = Now + milliseconds(Request.on_time_ms());
  SlotRequest.UsefulUntil = Now + milliseconds(Request.useful_ms());
  SlotRequest.Urgency = Request.urgency();
  try {
    const std::optional<adapter_location> Location = Controller.hold(
        Wanted, SlotRequest, Now + milliseconds(Request.wait_ms()));
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
