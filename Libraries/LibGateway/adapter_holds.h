#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_HOLDS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_keeper.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/zone_hub.h"
#include "LibPeer/host_link_client.h"

#include <map>
#include <mutex>
#include <set>

namespace spindle {

/// The adapters that this host may rely on for a while, and the way to more:
/// its own keeper or the lead of the engine's zone. Thread-safe.
class adapter_holds {
public:
  /// All references must outlive the object.
  adapter_holds(const runtime_clock &Clock, fleet_table &Fleet, zone_hub &Hub,
                adapter_keeper &Keeper, host_link_port Peers,
                host_link::Sender Self);

  /// Returns the version that the engine has, at least \p Wanted's. Blocks the
  /// fiber until \p Until at most. If the zone's lead does not answer, what
  /// the engine has registered is relied on.
  /// If every adapter there is in use, it waits only with \p WaitForRoom.
  /// \throws spindle_error AdapterNotLoaded, NotOwner, NoUpstream.
  std::uint64_t hold(const upstream_entry &Engine, const loaded_adapter &Wanted,
                     time_point Until, bool WaitForRoom);
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
  std::uint64_t askLead(const upstream_entry &Engine, const endpoint &Lead,
                        const loaded_adapter &Wanted, time_point Until,
                        bool WaitForRoom);
  std::uint64_t relyOnRegistration(const upstream_entry &Engine,
                                   const loaded_adapter &Wanted) const;
  void remember(const upstream_entry &Engine, const loaded_adapter &Adapter,
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
