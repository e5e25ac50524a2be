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

/// Who a host is, and the times of its leases.
struct membership_settings {
  std::string Name;
  std::string Zone;
  /// Where this process itself listens; it must be bound before the first
  /// tick, which proves that no earlier process of this machine is left.
  endpoint Link;
  /// Differs at every start of the process.
  std::uint64_t Incarnation = 0;
  /// The running kernel's identity, readBootIdentity(). Empty: an earlier
  /// process of this host is never known to have ended.
  std::string Boot;
  lease_settings Lease;
  /// Spreads calls to the platform.
  std::uint64_t Seed = 0;
  /// Time between looks at the list of machines with few of them.
  milliseconds MachinesInterval{1'500};
  /// How long another host must be preferred before an engine is handed over.
  milliseconds RebalanceDelay{30'000};
};

/// Reads the running kernel's identity; empty if it can't be read.
std::string readBootIdentity();

/// A host's membership of the fleet: keeps its lease, watches the others',
/// divides the zone's share of rates and the ownership of its engines, all by
/// conditional updates at the platform.
///
/// Thread-safe, except that tick() and watchMachines() are each called by one
/// fiber only. Those two block on the platform; they don't throw.
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

  /// What is known now; never null.
  view_pointer view() const;
  /// Calls \p Listener with each new view, in order. A view that takes
  /// something away is out before the platform is told, so a listener must
  /// have stopped using it when it returns.
  /// Precondition: called before the first tick().
  void onChange(listener Listener);
  void applyConfiguration(snapshot_pointer Snapshot);
  /// Tells operators by way of the lease which configuration is in force.
  void setAppliedVersion(std::uint64_t Version);

  /// Does what is due: renews, reads, decides, writes. Call it about every
  /// 250 ms.
  void tick();
  /// Follows the list of machines for \p Limit; call it in a loop. Returns
  /// whether the platform answered; if not, wait before the next.
  bool watchMachines(milliseconds Limit);

  /// Tells the others that this host takes no new work, and hands over its
  /// engines.
  void startDrain();
  /// After startDrain(): gives back the share and ends the lease too.
  void finishDrain();
  /// Whether all engines were handed over since startDrain().
  bool enginesReleased() const;
  /// Whether finishDrain() is done: the process may end.
  bool drained() const;
  /// Whether an operator has asked this host to drain, or the platform's list
  /// calls its machine leaving.
  bool drainRequested() const;
  /// Whether another process has taken this host's place: this one must end.
  bool replaced() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MEMBERSHIP_AGENT_H
