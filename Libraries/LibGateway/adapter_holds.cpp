#include "LibGateway/adapter_holds.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

// A request that is sent at the end of a hold still reaches the engine in it.
static constexpr milliseconds SendMargin{550};
static constexpr milliseconds LongestWait{1'500};
// The lead's answer takes so much longer than the load that it waits for.
static constexpr milliseconds AnswerMargin{150};

adapter_holds::adapter_holds(const runtime_clock &Clock, fleet_table &Fleet,
                             zone_hub &Hub, adapter_keeper &Keeper,
                             host_link_port Peers, host_link::Sender Self)
    : Clock(Clock), Fleet(Fleet), Hub(Hub), Keeper(Keeper),
      Peers(std::move(Peers)), Self(std::move(Self)) {}

std::uint64_t
adapter_holds::relyOnRegistration(const upstream_entry &Engine,
                                  const loaded_adapter &Wanted) const {
  for (const loaded_adapter &Adapter : Engine.Adapters)
    if (Adapter.Name == Wanted.Name && Adapter.Version >= Wanted.Version)
      return Adapter.Version;
  Fleet.noteRoom({Engine.Id, 0});
  throw spindle_error(result_code::NotOwner,
                      "the lead of zone " + Engine.Zone +
                          " can't be asked to load the adapter");
}

void adapter_holds::remember(const upstream_entry &Engine,
                             const loaded_adapter &Adapter, time_point Asked) {
  Fleet.noteAdapter(Engine.Id, Adapter, true);
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Until = Asked + HoldTerm - SendMargin;
  std::erase_if(
      Held, [Asked](const auto &Entry) { return Entry.second.Until < Asked; });
  Held[{Engine.Id, Adapter.Name}] = {Adapter.Version, Until};
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

std::uint64_t adapter_holds::askLead(const upstream_entry &Engine,
                                     const endpoint &Lead,
                                     const loaded_adapter &Wanted,
                                     time_point Until, bool WaitForRoom) {
  const time_point Asked = Clock.now();
  const milliseconds Wait = std::min(
      LongestWait, std::chrono::duration_cast<milliseconds>(Until - Asked));
  host_link::HoldAdapterRequest Request;
  *Request.mutable_sender() = Self;
  Request.set_upstream(Engine.Name);
  Request.set_model(Wanted.Name.Model);
  Request.set_adapter(Wanted.Name.Adapter);
  Request.set_version(Wanted.Version);
  Request.set_wait_ms(std::max<std::int64_t>(0, Wait.count()));
  Request.set_wait_for_room(WaitForRoom);
  Request.set_missing(takeMissing(Engine, Wanted.Name));
  host_link::HoldAdapterReply Reply;
  try {
    Reply = Peers.HoldAdapter(Lead, Request, Wait + AnswerMargin);
  } catch (const spindle_error &Error) {
    logEvent(log_event::OwnerUnreachable,
             {{"lead", toText(Lead)}, {"cause", Error.what()}});
    Fleet.noteZoneSilent(Engine.Zone);
    return relyOnRegistration(Engine, Wanted);
  }
  if (!Reply.held())
    Fleet.noteRoom({Engine.Id, 0});
  if (!Reply.held())
    throw spindle_error(result_code::AdapterNotLoaded, Reply.message());
  remember(Engine, {Wanted.Name, Reply.version()}, Asked);
  return Reply.version();
}

std::uint64_t adapter_holds::hold(const upstream_entry &Engine,
                                  const loaded_adapter &Wanted,
                                  time_point Until, bool WaitForRoom) {
  const time_point Now = Clock.now();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Held.find({Engine.Id, Wanted.Name});
    if (Found != Held.end() && Found->second.Until > Now &&
        Found->second.Version >= Wanted.Version)
      return Found->second.Version;
  }
  if (Hub.fence(Engine.Zone)) {
    if (takeMissing(Engine, Wanted.Name))
      Keeper.noteMissing(Engine.Id, Wanted.Name);
    const loaded_adapter There =
        Keeper.hold(Engine.Id, Wanted, Until, WaitForRoom);
    remember(Engine, There, Now);
    return There.Version;
  }
  const std::optional<endpoint> Lead = Hub.leadOf(Engine.Zone);
  if (!Lead || *Lead == Hub.link())
    return relyOnRegistration(Engine, Wanted);
  return askLead(Engine, *Lead, Wanted, Until, WaitForRoom);
}

host_link::HoldAdapterReply
adapter_holds::handleHold(const host_link::HoldAdapterRequest &Request) {
  host_link::HoldAdapterReply Reply;
  const loaded_adapter Wanted{{Request.model(), Request.adapter()},
                              Request.version()};
  if (Request.missing())
    Keeper.noteMissing(upstream_id::ofName(Request.upstream()), Wanted.Name);
  try {
    const loaded_adapter There = Keeper.hold(
        upstream_id::ofName(Request.upstream()), Wanted,
        Clock.now() + milliseconds(Request.wait_ms()), Request.wait_for_room());
    Reply.set_held(true);
    Reply.set_term_ms(HoldTerm.count());
    Reply.set_version(There.Version);
  } catch (const spindle_error &Error) {
    Reply.set_message(Error.what());
  }
  return Reply;
}

} // namespace spindle
