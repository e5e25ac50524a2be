#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_KEEPER_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_KEEPER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/engine_places.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/order_port.h"
#include "LibGateway/place_decision.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/fiber/mutex.hpp>

namespace spindle {

/// What a keeper needs of its host.
struct adapter_keeper_ports {
  order_port Orders;
  std::function<void(std::function<void()>)> Spawn;
  /// The fencing token under which this host may order engines of the zone
  /// now; none if it may not.
  std::function<std::optional<std::uint64_t>(std::string_view Zone)> Fence;
  /// An engine has seen a higher fencing token than \p Fence.
  std::function<void(std::uint64_t Fence)> OnFenced;
  /// The newest announced version of an adapter, 0 if none was.
  std::function<std::uint64_t(const adapter_name &)> NewestVersion;
  /// How many adapters an engine of the service has room for.
  std::function<std::size_t(std::string_view Service)> Capacity;
  /// The base model that an empty engine of the service should load; empty for
  /// a service without models.
  std::function<std::string(std::string_view Service)> MissingModel;
  /// Whether the weight store may be asked for a base model now; counts it.
  std::function<bool()> MayLoadModel;
  /// Who this host is, as engines are told.
  std::string Holder;
};

/// An engine that has an adapter.
struct kept_adapter {
  upstream_id Engine;
  loaded_adapter Adapter;
};

/// Gives the orders to the engines of this host's zone while it is the zone's
/// lead: which adapter is loaded where. Thread-safe in every method.
class adapter_keeper {
public:
  /// \p Clock and \p Fleet must outlive the keeper.
  adapter_keeper(const runtime_clock &Clock, fleet_table &Fleet,
                 adapter_keeper_ports Ports);
  ~adapter_keeper();
  adapter_keeper(const adapter_keeper &) = delete;
  adapter_keeper &operator=(const adapter_keeper &) = delete;

  /// Sees to it that one of the engines has the adapter for HoldTerm from now,
  /// at \p Wanted's version or a newer one. Waits for the load, or for a place,
  /// until \p Until; none if that did not suffice. Blocks the fiber.
  /// Precondition: the engines are of one zone and service.
  /// \throws spindle_error NotOwner, NoUpstream, AdapterNotLoaded: no engine
  /// will have it while the request has use for it.
  std::optional<kept_adapter> hold(const loaded_adapter &Wanted,
                                   const slot_request &Wish, time_point Until);
  /// How many adapters each engine that this host orders could load now.
  std::vector<available_slots> rooms() const;
  /// Notes that the engine has refused a request because the adapter is not
  /// there.
  void noteMissing(upstream_id Engine, const adapter_name &Name);
  /// Notes all adapters for which hosts have requests under way now.
  void setInUse(std::span<const adapter_use> Uses);
  /// Loads a base model into the zone's engines that have none.
  void loadModels();
  /// Loads the newest versions of adapters that engines have older ones of.
  void renewVersions();

private:
  struct kept_engine;
  using engine_pointer = std::shared_ptr<kept_engine>;
  class queue_turn;

  std::vector<engine_pointer> usableEngines(const slot_request &Wish);
  std::optional<kept_adapter> step(std::span<const engine_pointer> Engines,
                                   const loaded_adapter &Wanted,
                                   queue_turn &Turn);
  engine_pointer engineFor(const upstream_pointer &Entry);
  void startLoad(const engine_pointer &Engine, const loaded_adapter &Adapter);
  void startUnload(const engine_pointer &Engine, const loaded_adapter &Victim);
  order_outcome order(kept_engine &Engine, order_action Action,
                      const loaded_adapter &Adapter, bool IsRepeat);
  void runLoad(kept_engine &Engine, const loaded_adapter &Adapter);
  void runModelLoad(kept_engine &Engine, const std::string &Model);
  void runUnload(kept_engine &Engine, const loaded_adapter &Victim);
  void waitUntilLoaded(kept_engine &Engine, const loaded_adapter &Adapter);
  bool resync(kept_engine &Engine);
  void startResync(const engine_pointer &Engine);
  bool isSilent(const kept_engine &Engine) const;
  bool isOverfull(const kept_engine &Engine) const;
  void noteOrder(kept_engine &Engine, order_action Action,
                 order_outcome Outcome, bool IsRepeat);
  milliseconds loadEstimate() const;
  void noteLoadTook(nanoseconds Took);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_keeper_ports Ports;
  mutable std::mutex Mutex;
  std::map<upstream_id, engine_pointer> Engines;
  /// By service.
  std::map<std::string, slot_queue> Queues;
  double LoadMilliseconds = 240;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_KEEPER_H
