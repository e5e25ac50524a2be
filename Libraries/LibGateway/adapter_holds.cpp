#include "LibGateway/adapter_holds.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

// A request that is sent at the end of a hold still reaches the engine in it.
static constexpr milliseconds SendMargin{550};
// The lead's answer takes so much longer than the load that it waits for.
static constexpr milliseconds AnswerMargin{150};

adapter_holds::adapter_holds(const runtime_clock &Clock, fleet_table &Fleet,
                             zone_hub &Hub, adapter_keeper &Keeper,
                             host_link_port Peers, host_link::Sender Self)
    : Clock(Clock), Fleet(Fleet), Hub(Hub), Keeper(Keeper),
      Peers(std::move(Peers)), Self(std::move(Self)) {}

void adapter_holds::noteNoRoom(const hold_query &Query) const {
  for (const upstream_pointer &Engine : Query.Engines)
    Fleet.noteAvailableSlots({Engine->Id, 0});
}

held_engine adapter_holds::relyOnRegistration(const hold_query &Query) const {
  for (const upstream_pointer &Engine : Query.Engines)
    for (const loaded_adapter &Adapter : Engine->Adapters)
      if (Adapter.Name == Query.Wanted.Name &&
          Adapter.Version >= Query.Wanted.Version)
        return {Engine, Adapter.Version};
  noteNoRoom(Query);
  throw spindle_error(result_code::NotOwner,
                      "the lead of zone " + Query.Engines.front()->Zone +
                          " can't be asked to load the adapter");
}

/// Notes that \p Engine has the adapter. None if it is not one that was meant.
std::optional<held_engine> adapter_holds::remember(const hold_query &Query,
                                                   upstream_id Engine,
                                                   std::uint64_t Version,
                                                   time_point Asked) {
  const auto Meant = std::find_if(
      Query.Engines.begin(), Query.Engines.end(),
      [Engine](const upstream_pointer &Each) { return Each->Id == Engine; });
  if (Meant == Query.Engines.end())
    return std::nullopt;
  Fleet.noteAdapter(Engine, {Query.Wanted.Name, Version}, true);
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::erase_if(
      Held, [Asked](const auto &Entry) { return Entry.second.Until < Asked; });
  Held[{Engine, Query.Wanted.Name}] = {Version, Asked + HoldTerm - SendMargin};
  return held_engine{*Meant, Version};
}

void adapter_holds::forget(const upstream_entry &Engine,
                           const adapter_name &Name) {
  Fleet.noteAdapter(Engine.Id, {Name, 0}, false);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Held.erase({Engine.Id, Name});
  Missing.insert({Engine.Id, Name});
}

/// Whether the engine has refused a request for the adapter since it was last
/// held. Tells it once.
bool adapter_holds::takeMissing(const upstream_entry &Engine,
                                const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Missing.erase({Engine.Id, Name}) > 0;
}

std::optional<held_engine>
adapter_holds::findHeld(const hold_query &Query) const {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const upstream_pointer &Engine : Query.Engines) {
    const auto Found = Held.find({Engine->Id, Query.Wanted.Name});
    if (Found != Held.end() && Found->second.Until > Now &&
        Found->second.Version >= Query.Wanted.Version)
      return held_engine{Engine, Found->second.Version};
  }
  return std::nullopt;
}

std::optional<held_engine> adapter_holds::askKeeper(const hold_query &Query,
                                                    time_point Until) {
  const time_point Asked = Clock.now();
  const upstream_entry &First = *Query.Engines.front();
  if (takeMissing(First, Query.Wanted.Name))
    Keeper.noteMissing(First.Id, Query.Wanted.Name);
  slot_request Wish;
  for (const upstream_pointer &Engine : Query.Engines)
    Wish.Engines.push_back(Engine->Id);
  Wish.OnTimeUntil = Query.OnTimeUntil;
  Wish.UsefulUntil = Query.UsefulUntil;
  Wish.Urgency = Query.Urgency;
  const std::optional<kept_adapter> There =
      Keeper.hold(Query.Wanted, Wish, Until);
  if (!There)
    return std::nullopt;
  return remember(Query, There->Engine, There->Adapter.Version, Asked);
}

static std::int64_t millisecondsUntil(time_point Time, time_point Now) {
  return std::chrono::duration_cast<milliseconds>(Time - Now).count();
}

std::optional<held_engine> adapter_holds::askLead(const hold_query &Query,
                                                  const endpoint &Lead,
                                                  time_point Until) {
  const time_point Asked = Clock.now();
  const milliseconds Wait{
      std::max<std::int64_t>(0, millisecondsUntil(Until, Asked))};
  const upstream_entry &First = *Query.Engines.front();
  host_link::HoldAdapterRequest Request;
  *Request.mutable_sender() = Self;
  for (const upstream_pointer &Engine : Query.Engines)
    Request.add_upstreams(Engine->Name);
  Request.set_model(Query.Wanted.Name.Model);
  Request.set_adapter(Query.Wanted.Name.Adapter);
  Request.set_version(Query.Wanted.Version);
  Request.set_wait_ms(Wait.count());
  Request.set_on_time_ms(millisecondsUntil(Query.OnTimeUntil, Asked));
  Request.set_useful_ms(millisecondsUntil(Query.UsefulUntil, Asked));
  Request.set_urgency(Query.Urgency);
  Request.set_missing(takeMissing(First, Query.Wanted.Name));
  host_link::HoldAdapterReply Reply;
  try {
    Reply = Peers.HoldAdapter(Lead, Request, Wait + AnswerMargin);
  } catch (const spindle_error &Error) {
    logEvent(log_event::OwnerUnreachable,
             {{"lead", toText(Lead)}, {"cause", Error.what()}});
    Fleet.noteZoneSilent(First.Zone);
    return relyOnRegistration(Query);
  }
  if (Reply.held())
    return remember(Query, upstream_id::ofName(Reply.upstream()),
                    Reply.version(), Asked);
  noteNoRoom(Query);
  if (Reply.waiting())
    return std::nullopt;
  throw spindle_error(result_code::AdapterNotLoaded, Reply.message());
}

std::optional<held_engine> adapter_holds::hold(const hold_query &Query,
                                               time_point Until) {
  if (std::optional<held_engine> Known = findHeld(Query))
    return Known;
  const std::string &Zone = Query.Engines.front()->Zone;
  if (Hub.fence(Zone))
    return askKeeper(Query, Until);
  const std::optional<endpoint> Lead = Hub.leadOf(Zone);
  if (!Lead || *Lead == Hub.link())
    return relyOnRegistration(Query);
  return askLead(Query, *Lead, Until);
}

host_link::HoldAdapterReply
adapter_holds::handleHold(const host_link::HoldAdapterRequest &Request) {
  host_link::HoldAdapterReply Reply;
  const loaded_adapter Wanted{{Request.model(), Request.adapter()},
                              Request.version()};
  if (Request.missing() && Request.upstreams_size() > 0)
    Keeper.noteMissing(upstream_id::ofName(Request.upstreams(0)), Wanted.Name);
  const time_point Now = Clock.now();
  slot_request Wish;
  std::map<upstream_id, std::string> Names;
  for (const std::string &Name : Request.upstreams()) {
    Wish.Engines.push_back(upstream_id::ofName(Name));
    Names[Wish.Engines.back()] = Name;
  }
  Wish.OnTimeUntil = Now + milliseconds(Request.on_time_ms());
  Wish.UsefulUntil = Now + milliseconds(Request.useful_ms());
  Wish.Urgency = Request.urgency();
  try {
    const std::optional<kept_adapter> There =
        Keeper.hold(Wanted, Wish, Now + milliseconds(Request.wait_ms()));
    Reply.set_held(There.has_value());
    Reply.set_waiting(!There);
    if (!There)
      return Reply;
    Reply.set_term_ms(HoldTerm.count());
    Reply.set_version(There->Adapter.Version);
    Reply.set_upstream(Names[There->Engine]);
  } catch (const spindle_error &Error) {
    Reply.set_message(Error.what());
  }
  return Reply;
}

} // namespace spindle
