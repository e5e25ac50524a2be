#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/placement_message.h"
#include "LibGateway/work_placer.h"
#include "LibGateway/zone_coordinator.h"
#include "LibPeer/host_link_client.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace spindle {

/// The adapter that a request needs on one of a zone's engines, and until when.
struct hold_query {
  /// The engines on which the adapter may be loaded, in order of preference.
  std::vector<upstream_pointer> Engines;
  versioned_adapter Wanted;
  /// A later hold makes the response miss its latency objective.
  time_point OnTimeUntil;
  /// A later hold is of no use to the request.
  time_point UsefulUntil;
  /// A smaller value is more urgent.
  int Urgency = 0;
  customer_id Customer{};
  /// If set, the leader chooses among all engines of the zone. Engines then
  /// serves only while the leader does not reply.
  std::optional<hold_work> Work;
};

/// An engine that has the adapter loaded, and the adapter's version there.
struct held_engine {
  upstream_pointer Engine;
  std::uint64_t Version = 0;
  /// See placed_engine.
  milliseconds UsualReading{0};
};

/// Acquires and caches holds. A hold guarantees for HoldTerm that an engine
/// keeps an adapter loaded. It comes from this host's own controller if the
/// host is the leader of the engine's zone, otherwise from that leader.
/// Thread-safe.
class adapter_holds {
public:
  /// All references must outlive the object.
  adapter_holds(const runtime_clock &Clock, fleet_table &Fleet,
                zone_coordinator &Coordinator, adapter_controller &Controller,
                work_placer &Placer, host_link_port Peers,
                host_link::Sender Self);

  /// Returns an engine that has the adapter at the wanted version or a newer
  /// one; none if the adapter is not loaded by \p Until, after which the caller
  /// may retry. Blocks the fiber. If the zone's leader does not answer, uses
  /// the adapters in the engines' registrations. Precondition: Query names at
  /// least one engine.
  /// \throws spindle_error AdapterNotLoaded, NotOwner, NoUpstream.
  std::optional<held_engine> hold(const hold_query &Query, time_point Until);
  /// Drops the hold after the engine refused a request for the adapter.
  void invalidate(const upstream_entry &Engine, const adapter_name &Name);
  /// Handles a peer's request for a hold. May block the fiber.
  host_link::HoldAdapterReply
  handleHold(const host_link::HoldAdapterRequest &Request);

private:
  struct active_hold {
    std::uint64_t Version = 0;
    time_point Until;
  };
  using hold_key = std::pair<upstream_id, adapter_name>;

  bool consumeRefusal(const upstream_entry &Engine, const adapter_name &Name);
  std::optional<held_engine> findActiveHold(const hold_query &Query) const;
  std::optional<held_engine> holdLocally(const hold_query &Query,
                                         time_point Until);
  std::optional<held_engine> requestFromLeader(const hold_query &Query,
                                               const endpoint &Leader,
                                               time_point Until);
  std::optional<held_engine> placeLocally(const hold_query &Query,
                                          time_point Until);
  host_link::HoldAdapterReply
  handlePlacement(const host_link::HoldAdapterRequest &Request);
  held_engine useRegisteredAdapter(const hold_query &Query) const;
  void noteNoSlots(const hold_query &Query) const;
  std::optional<held_engine> recordHold(const hold_query &Query,
                                        upstream_id Engine,
                                        std::uint64_t Version,
                                        time_point RequestedAt);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  zone_coordinator &Coordinator;
  adapter_controller &Controller;
  work_placer &Placer;
  const host_link_port Peers;
  const host_link::Sender Self;
  mutable std::mutex Mutex;
  std::map<hold_key, active_hold> ActiveHolds;
  std::set<hold_key> RefusedAdapters;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H
