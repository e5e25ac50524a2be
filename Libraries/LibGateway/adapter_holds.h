#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_keeper.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/zone_hub.h"
#include "LibPeer/host_link_client.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace spindle {

/// What a request needs of the engines of one zone.
struct hold_query {
  /// The engines that may have the adapter, the best first.
  std::vector<upstream_pointer> Engines;
  versioned_adapter Wanted;
  time_point OnTimeUntil;
  time_point UsefulUntil;
  int Urgency = 0;
};

/// An engine that has the adapter.
struct held_engine {
  upstream_pointer Engine;
  std::uint64_t Version = 0;
};

/// The adapters that this host may rely on for a while, and the way to more:
/// its own keeper or the lead of the engine's zone. Thread-safe.
class adapter_holds {
public:
  /// All references must outlive the object.
  adapter_holds(const runtime_clock &Clock, fleet_table &Fleet, zone_hub &Hub,
                adapter_keeper &Keeper, host_link_port Peers,
                host_link::Sender Self);

  /// Returns the engine that has the adapter, at the wanted version or a newer
  /// one; none if it is not there at \p Until, and may be asked for again.
  /// Blocks the fiber. If the zone's lead does not answer, what the engines
  /// have registered is relied on. Precondition: an engine is named.
  /// \throws spindle_error AdapterNotLoaded, NotOwner, NoUpstream.
  std::optional<held_engine> hold(const hold_query &Query, time_point Until);
  /// Notes that the engine refused a request for the adapter.
  void forget(const upstream_entry &Engine, const adapter_name &Name);
  /// Serves a peer. May block the fiber.
  host_link::HoldAdapterReply
  handleHold(const host_link::HoldAdapterRequest &Request);

private:
  struct held_adapter {
    std::uint64_t Version = 0;
    time_point Until;
  };
  using hold_key = std::pair<upstream_id, adapter_name>;

  bool takeMissing(const upstream_entry &Engine, const adapter_name &Name);
  std::optional<held_engine> findHeld(const hold_query &Query) const;
  std::optional<held_engine> askKeeper(const hold_query &Query,
                                       time_point Until);
  std::optional<held_engine> askLead(const hold_query &Query,
                                     const endpoint &Lead, time_point Until);
  held_engine relyOnRegistration(const hold_query &Query) const;
  void noteNoRoom(const hold_query &Query) const;
  std::optional<held_engine> remember(const hold_query &Query,
                                      upstream_id Engine, std::uint64_t Version,
                                      time_point Asked);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  zone_hub &Hub;
  adapter_keeper &Keeper;
  const host_link_port Peers;
  const host_link::Sender Self;
  mutable std::mutex Mutex;
  std::map<hold_key, held_adapter> Held;
  std::set<hold_key> Missing;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H
