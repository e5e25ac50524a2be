#ifndef PARSLEYSPINDLE_LIBHOST_MEMBERSHIP_AGENT_H
#define PARSLEYSPINDLE_LIBHOST_MEMBERSHIP_AGENT_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibMembership/host_view.h"
#include "LibPlatform/platform_port.h"
#include "LibSettings/lease_settings.h"

#include <functional>
#include <memory>
#include <string>

namespace spindle {

/// A host's identity, and the times of its leases.
struct membership_settings {
  std::string Name;
  std::string Zone;
  /// Where this process itself listens. It must be bound before the first
  /// tick: that proves that no earlier process of this machine is running.
  endpoint Link;
  /// Differs at every start of the process.
  std::uint64_t Incarnation = 0;
  /// The running kernel's identity, from readBootIdentity(). If empty, an
  /// earlier process of this host is never known to have ended.
  std::string Boot;
  lease_settings Lease;
  /// Seed of the random spread of calls to the platform.
  std::uint64_t Seed = 0;
  /// Time between reads of the machine list while it is short.
  milliseconds MachinesInterval{1'500};
  /// How long another host must be preferred before an engine is handed over.
  milliseconds RebalanceDelay{30'000};
};

/// Reads the running kernel's identity; empty if it can't be read.
std::string readBootIdentity();

/// A host's membership of the fleet: renews its lease, observes the leases of
/// other hosts, and divides the zone's share of rates and the ownership of its
/// engines, all by conditional updates at the platform.
///
/// Thread-safe, except that tick() and watchMachines() must each be called from
/// one fiber only. Those two block on the platform and don't throw.
class membership_agent {
public:
  using view_pointer = std::shared_ptr<const host_view>;
  using listener = std::function<void(view_pointer)>;

  /// \p Clock must outlive the agent.
  membership_agent(const runtime_clock &Clock, platform_port Platform,
                   membership_settings Settings);
  ~membership_agent();
  membership_agent(const membership_agent &) = delete;
  membership_agent &operator=(const membership_agent &) = delete;

  /// The current view; never null.
  view_pointer view() const;
  /// Calls \p Listener with each new view, in order. A view that withdraws
  /// something is published before the platform is updated, so a listener must
  /// have stopped using it when it returns.
  /// Precondition: called before the first tick().
  void onChange(listener Listener);
  void applyConfiguration(snapshot_pointer Snapshot);
  /// Sets the active configuration version, which the lease shows to operators.
  void setAppliedVersion(std::uint64_t Version);

  /// Does the work that is due: renews the lease, reads leases and tables,
  /// decides, writes. Call it about every 250 ms.
  void tick();
  /// Watches the machine list for \p Limit; call it in a loop. Returns whether
  /// the platform answered; if not, wait before the next call.
  bool watchMachines(milliseconds Limit);

  /// Announces to the other hosts that this one takes no new work, and hands
  /// over its engines.
  void startDrain();
  /// After startDrain(): also gives back the share and ends the lease.
  void finishDrain();
  /// Whether all engines have been handed over since startDrain().
  bool enginesReleased() const;
  /// Whether the work of finishDrain() is complete, so the process may exit.
  bool drained() const;
  /// Whether an operator has asked this host to drain, or the platform's
  /// machine list marks its machine as leaving.
  bool drainRequested() const;
  /// Whether another process has replaced this one, which must then exit.
  bool replaced() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MEMBERSHIP_AGENT_H
