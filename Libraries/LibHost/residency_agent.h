#ifndef PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_H
#define PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/result_code.h"
#include "LibCore/runtime_clock.h"
#include "LibEngine/engine_port.h"
#include "LibHost/engine_table.h"
#include "LibHost/pin_lease.h"
#include "LibMembership/host_view.h"
#include "LibMetrics/metrics.h"
#include "LibPeer/host_link_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// A request that needs an adapter on some engine.
struct pin_request {
  adapter_id Adapter;
  /// "name@version".
  std::string AdapterName;
  std::string Model;
  std::uint64_t PrefixHash = 0;
  tokens Prompt;
  /// How much the request weighs when loads are put in order.
  double Weight = 1;
  time_point Deadline;
  /// Engines that must not be chosen.
  std::vector<upstream_id> Avoid;
};

/// This host's part of the fleet's budget of loads.
struct load_budget {
  /// Takes one load from the budget; returns false if none is left.
  std::function<bool(time_point Now)> TryReserve;
  /// Tells that a reserved load has ended.
  std::function<void()> Settle;
};

/// What a residency_agent reaches the outside through. Thread-safe.
struct residency_ports {
  engine_port Engines;
  host_link_port Hosts;
  load_budget Budget;
  /// Told which start of an engine each of its reports shows; may be empty.
  std::function<void(upstream_id Engine, std::uint64_t Incarnation)> OnReport;
  /// Starts a fiber.
  std::function<void(std::function<void()>)> Spawn;
};

struct residency_agent_settings {
  /// An unused pin is kept for this long.
  milliseconds PinRetention{2'000};
  /// A load or unload order ends within this time.
  milliseconds OrderLimit{20'000};
  milliseconds ReportLimit{1'000};
  /// The longest that one question to an owner waits for a load.
  milliseconds AskLimit{2'000};
  /// The pause between tries while an engine has no owner.
  milliseconds OwnerPause{20};
};

/// Decides, for the engines that this host owns, what is loaded where, and
/// pins adapters at the owners of engines for this host's own requests.
///
/// Thread-safe in every method. Those that ask others block the calling fiber.
class residency_agent {
public:
  /// Precondition: \p Clock, \p Engines and \p Metrics outlive the agent, and
  /// so do all fibers that it spawns.
  residency_agent(const runtime_clock &Clock, residency_ports Ports,
                  const host_link::Sender &Self, engine_table &Engines,
                  metrics *Metrics, residency_agent_settings Settings);
  ~residency_agent();
  residency_agent(const residency_agent &) = delete;
  residency_agent &operator=(const residency_agent &) = delete;

  void applyConfiguration(snapshot_pointer Configuration);
  void applyView(std::shared_ptr<const host_view> View);

  /// Chooses an engine for a request, pins the adapter there and waits for its
  /// load if need be. Blocks until \p Request.Deadline at most.
  /// \throws spindle_error NoUpstream, AdapterLoadFailed, AdapterNotLoaded,
  /// NotReady: the request has not run.
  pin_lease acquire(const pin_request &Request);

  /// Answers another host, or this one, as the owner of engines.
  host_link::PinReply handlePin(const host_link::PinRequest &Request);
  host_link::SyncPinsReply
  handleSyncPins(const host_link::SyncPinsRequest &Request);
  host_link::ResidencyReply
  handleResidency(const host_link::ResidencyRequest &Request);

  /// Asks the own engines for reports, and other owners for theirs; one pass.
  void pollReports();
  /// Decides on loads and evictions and starts them; one pass.
  void runLoads();
  /// Releases unused pins and tells owners which pins are held; one pass.
  void syncPins();
  /// From now on unused pins are released at once. Requests under way can
  /// still acquire pins, and others are served until ownership has moved.
  void startDrain();

  /// The agent's parts, for its own source files.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_H
