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
  /// The request's weight when pending loads are prioritized.
  double Weight = 1;
  time_point Deadline;
  /// Engines that must not be chosen.
  std::vector<upstream_id> Avoid;
};

/// This host's part of the fleet's load budget.
struct load_budget {
  /// Takes one load from the budget; returns false if none is left.
  std::function<bool(time_point Now)> TryReserve;
  /// Called when a reserved load has ended.
  std::function<void()> Settle;
};

/// The external interfaces that a residency_agent uses. Thread-safe.
struct residency_ports {
  engine_port Engines;
  host_link_port Hosts;
  load_budget Budget;
  /// Called with the engine's incarnation for each of its reports; may be
  /// empty.
  std::function<void(upstream_id Engine, std::uint64_t Incarnation)> OnReport;
  /// Starts a fiber.
  std::function<void(std::function<void()>)> Spawn;
};

struct residency_agent_settings {
  /// How long an unused pin is kept.
  milliseconds PinRetention{2'000};
  /// The time limit of a load or unload order.
  milliseconds OrderTimeout{20'000};
  milliseconds ReportTimeout{1'000};
  /// The longest that one pin request to an owner waits for a load.
  milliseconds PinRequestTimeout{2'000};
  /// The pause between attempts while an engine has no reachable owner.
  milliseconds OwnerRetryInterval{20};
};

/// Decides which adapters are loaded on the engines that this host owns, and
/// pins adapters at the engines' owners for this host's own requests.
///
/// Every method is thread-safe. Those that call other hosts or engines block
/// the calling fiber.
class residency_agent {
public:
  /// Precondition: \p Clock, \p Engines and \p Metrics outlive the agent and
  /// all fibers that it spawns.
  residency_agent(const runtime_clock &Clock, residency_ports Ports,
                  const host_link::Sender &Self, engine_table &Engines,
                  metrics *Metrics, residency_agent_settings Settings);
  ~residency_agent();
  residency_agent(const residency_agent &) = delete;
  residency_agent &operator=(const residency_agent &) = delete;

  void applyConfiguration(snapshot_pointer Configuration);
  void applyView(std::shared_ptr<const host_view> View);

  /// Chooses an engine for a request, pins the adapter there and waits for it
  /// to be loaded if necessary. Blocks until \p Request.Deadline at most.
  /// \throws spindle_error NoUpstream, AdapterLoadFailed, AdapterNotLoaded,
  /// NotReady: the request has not run.
  pin_lease acquire(const pin_request &Request);

  /// Handle requests of other hosts, or of this one, to the owner of engines.
  host_link::PinReply handlePin(const host_link::PinRequest &Request);
  host_link::SyncPinsReply
  handleSyncPins(const host_link::SyncPinsRequest &Request);
  host_link::ResidencyReply
  handleResidency(const host_link::ResidencyRequest &Request);

  /// Polls the engines that this host owns for reports, and other owners for
  /// theirs; one pass.
  void pollReports();
  /// Decides on loads and evictions and starts them; one pass.
  void runLoads();
  /// Releases unused pins and reports the held pins to their owners; one pass.
  void syncPins();
  /// From now on unused pins are released immediately. Requests in progress can
  /// still acquire pins, and other hosts are served until ownership has moved.
  void startDrain();

  /// The implementation, shared by the agent's source files.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_H
