#include "LibHost/membership_agent.h"

#include "LibCore/result_code.h"
#include "LibHost/call_schedule.h"
#include "LibHost/lease_reader.h"
#include "LibHost/lease_renewer.h"
#include "LibHost/machine_watcher.h"
#include "LibHost/zone_table_manager.h"
#include "LibLog/log.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <random>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

/// In zones with more hosts than this, hosts other than maintainers read leases
/// and tables less often, so that the traffic per host stays constant.
static constexpr std::size_t HostsAtFullRate = 8;
/// Entries of the machine list that a host reads per second, in addition to the
/// events of its watch.
static constexpr std::size_t MachinesReadPerSecond = 8;
/// Hosts that start together spread their first calls over these times.
static constexpr milliseconds FirstRenewalSpread{1'500};
static constexpr milliseconds FirstReadSpread{3'000};

struct membership_agent::state {
  state(const runtime_clock &Clock, platform_port Port,
        membership_settings Given)
      : Clock(Clock), Platform(std::move(Port)), Settings(std::move(Given)),
        Machines(Platform), Leases(Clock, Platform, Settings),
        Lease(Clock, Platform, Settings), Zone(Clock, Platform, Settings),
        Random(Settings.Seed), View(std::make_shared<const host_view>()) {
    const time_point Now = Clock.now();
    Renewal.startWithin(FirstRenewalSpread, Now, Random);
    for (call_schedule *Schedule : {&MachineReads, &OwnZone, &OtherZones})
      Schedule->startWithin(FirstReadSpread, Now, Random);
  }

  void runIfDue(call_schedule &Schedule, nanoseconds Interval,
                const std::function<void()> &Work);
  std::size_t pollIntervalFactor();
  void renew();
  void updateOwnZone();
  void readOtherZone();
  bool mayDecide() const;
  void hastenRenewalOnChange();
  nanoseconds machinesInterval() const;
  void logLeaseChange();
  zone_decision_input facts();
  host_view buildView();
  void publish();

  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  std::vector<listener> Listeners;
  machine_watcher Machines;

  // Used by tick()'s fiber only.
  lease_reader Leases;
  lease_renewer Lease;
  zone_table_manager Zone;
  std::map<std::string, zone_table> OtherTables;
  std::mt19937_64 Random;
  call_schedule Renewal;
  call_schedule MachineReads;
  call_schedule OwnZone;
  call_schedule OtherZones;
  std::size_t NextZone = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t RenewedVersion = 0;
  bool RenewedDraining = false;
  bool HeldLease = false;
  bool Reachable = false;
  bool Stopped = false;

  mutable std::mutex Mutex;
  view_pointer View;
  snapshot_pointer Snapshot;
  std::uint64_t AppliedVersion = 0;

  std::atomic<bool> Draining{false};
  std::atomic<bool> Finishing{false};
  std::atomic<bool> EnginesReleased{false};
  std::atomic<bool> Drained{false};
  std::atomic<bool> DrainRequested{false};
  std::atomic<bool> Replaced{false};
};

std::string readBootIdentity() {
  std::ifstream File("/proc/sys/kernel/random/boot_id");
  std::string Identity;
  std::getline(File, Identity);
  return Identity;
}

membership_agent::membership_agent(const runtime_clock &Clock,
                                   platform_port Platform,
                                   membership_settings Settings)
    : State(std::make_unique<state>(Clock, std::move(Platform),
                                    std::move(Settings))) {}

membership_agent::~membership_agent() = default;

membership_agent::view_pointer membership_agent::view() const {
  const lock Lock(State->Mutex);
  return State->View;
}

void membership_agent::onChange(listener Listener) {
  State->Listeners.push_back(std::move(Listener));
}

void membership_agent::applyConfiguration(snapshot_pointer Snapshot) {
  const lock Lock(State->Mutex);
  State->Snapshot = std::move(Snapshot);
}

void membership_agent::setAppliedVersion(std::uint64_t Version) {
  const lock Lock(State->Mutex);
  State->AppliedVersion = Version;
}

void membership_agent::startDrain() { State->Draining = true; }

void membership_agent::finishDrain() { State->Finishing = true; }

bool membership_agent::enginesReleased() const {
  return State->EnginesReleased;
}

bool membership_agent::drained() const { return State->Drained; }

bool membership_agent::drainRequested() const {
  return State->DrainRequested ||
         State->Machines.isDraining(State->Settings.Name);
}

bool membership_agent::replaced() const { return State->Replaced; }

/// Runs \p Work if it is due.
void membership_agent::state::runIfDue(call_schedule &Schedule,
                                       nanoseconds Interval,
                                       const std::function<void()> &Work) {
  if (!Schedule.isDue(Clock.now()))
    return;
  try {
    Work();
    Schedule.noteSuccess(Clock.now(), Interval, Random);
    Reachable = true;
  } catch (const spindle_error &Error) {
    Schedule.noteFailure(Clock.now(), Random);
    const bool IsConflict = Error.code() == result_code::PlatformConflict;
    Reachable = IsConflict;
    if (!IsConflict)
      logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
  }
}

/// The factor by which this host reads leases and tables less often than a
/// maintainer.
std::size_t membership_agent::state::pollIntervalFactor() {
  const std::vector<std::string> Live = Leases.liveHosts(!Draining);
  if (Leases.isMaintainer(Live))
    return 1;
  return std::max<std::size_t>(1, Live.size() / HostsAtFullRate);
}

void membership_agent::state::renew() {
  std::uint64_t Version = 0;
  {
    const lock Lock(Mutex);
    Version = AppliedVersion;
  }
  lease_condition Condition;
  Condition.ConfigurationVersion = Version;
  Condition.Draining = Draining;
  Condition.Stopped = Stopped;
  Lease.renew(Condition);
  DrainRequested = Lease.drainRequested();
  Replaced = Lease.replaced();
  RenewedVersion = Version;
  RenewedDraining = Condition.Draining;
  if (Stopped && !Replaced)
    Drained = true;
}

zone_decision_input membership_agent::state::facts() {
  zone_decision_input Facts;
  const time_point Now = Clock.now();
  Facts.Self = Settings.Name;
  Facts.Incarnation = Settings.Incarnation;
  Facts.LeaseTerm = Lease.leaseTerm().number();
  Facts.ShareTerm = Lease.shareTerm().number();
  Facts.LeaseHeld = Lease.leaseTerm().holds(Now);
  Facts.ShareHeld = Lease.shareTerm().holds(Now);
  Facts.ReleasesShare = Finishing;
  Facts.LiveHosts = Leases.liveHosts(!Draining);
  Facts.IsMaintainer = Leases.isMaintainer(Facts.LiveHosts);
  Facts.LeaseStatusOf =
      [this](const std::string &Host, std::uint64_t Incarnation,
             std::uint64_t LeaseTerm, std::uint64_t ShareTerm) {
        return Leases.observer().leaseStatus(Host, Incarnation, LeaseTerm,
                                             ShareTerm, Clock.now());
      };
  const lock Lock(Mutex);
  std::uint64_t Sum = 0;
  std::uint32_t Weight = 0;
  for (const zone_declaration &Declared : Snapshot->zones()) {
    Sum += Declared.Weight;
    Weight = Declared.Name == Settings.Zone ? Declared.Weight : Weight;
  }
  Facts.ConfigurationVersion = Snapshot->version();
  Facts.TargetBudget = zoneTarget(Weight, Sum);
  for (const upstream_declaration &Upstream : Snapshot->upstreams())
    if (Upstream.Kind == upstream_kind::Engine &&
        Upstream.Zone == Settings.Zone)
      Facts.Engines.push_back({Upstream.Name, Upstream.HonoursFencing});
  return Facts;
}

/// Reads the leases and the table of this host's zone, decides and writes.
void membership_agent::state::updateOwnZone() {
  Leases.observer().observeMachines(Machines.machines().Hosts);
  const platform_list List = Leases.readZone(Settings.Zone);
  if (Leases.isMaintainer(Leases.liveHosts(!Draining)))
    Leases.removeStale(List, Machines, Zone.table());
  Zone.readTable();
  Zone.decideAndWrite(facts(), Draining, [this] { publish(); });
  EnginesReleased = Draining && !Zone.ownsEngines();
  const bool MayStop = Finishing && EnginesReleased && !Zone.holdsShare();
  if (MayStop && !Stopped) {
    Stopped = true;
    Renewal.hasten(Clock.now());
  }
}

/// Reads the leases and the table of one other zone; the zones take turns.
void membership_agent::state::readOtherZone() {
  std::vector<std::string> Others;
  {
    const lock Lock(Mutex);
    for (const zone_declaration &Declared : Snapshot->zones())
      if (Declared.Name != Settings.Zone)
        Others.push_back(Declared.Name);
  }
  if (Others.empty())
    return;
  const std::string &Name = Others[NextZone++ % Others.size()];
  Leases.readZone(Name);
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ZoneTables, Name);
  if (Object)
    OtherTables[Name] = readZoneTable(Object->Body);
}

void membership_agent::state::logLeaseChange() {
  const bool Holds = Lease.leaseTerm().holds(Clock.now());
  if (HeldLease && !Holds)
    logEvent(log_event::LeaseLost, {{"host", Settings.Name}});
  if (!HeldLease && Holds)
    logEvent(log_event::LeaseRegained, {{"host", Settings.Name}});
  HeldLease = Holds;
}

host_view membership_agent::state::buildView() {
  host_view NewView;
  const time_point Now = Clock.now();
  NewView.Sequence = ++Sequence;
  Leases.addHosts(NewView);
  for (const auto &[Name, Table] : OtherTables)
    addOwners(NewView, Table);
  Zone.addOwnZone(NewView, Lease, Now);
  NewView.PlatformReachable = Reachable;
  const machine_list Listed = Machines.machines();
  for (const std::string &Upstream : Listed.DrainingUpstreams)
    NewView.DrainingUpstreams.push_back(upstream_id::ofName(Upstream));
  return NewView;
}

void membership_agent::state::publish() {
  const view_pointer NewView = std::make_shared<const host_view>(buildView());
  {
    const lock Lock(Mutex);
    View = NewView;
  }
  for (const listener &Listener : Listeners)
    Listener(NewView);
}

/// Whether leases and tables may be processed: this host has had a lease, has
/// not been replaced, and has a configuration with the zones and engines.
bool membership_agent::state::mayDecide() const {
  const lock Lock(Mutex);
  return Lease.everConfirmed() && !Replaced && Snapshot != nullptr;
}

void membership_agent::state::hastenRenewalOnChange() {
  const lock Lock(Mutex);
  if (AppliedVersion != RenewedVersion || RenewedDraining != Draining)
    Renewal.hasten(Clock.now());
}

nanoseconds membership_agent::state::machinesInterval() const {
  const lock Lock(Mutex);
  const std::size_t Upstreams =
      Snapshot == nullptr ? 0 : Snapshot->upstreams().size();
  const std::size_t Count = Machines.machines().Hosts.size() + Upstreams;
  const milliseconds ForAll(Count * 1'000 / MachinesReadPerSecond);
  return std::max(Settings.MachinesInterval, ForAll);
}

bool membership_agent::watchMachines(milliseconds Limit) {
  return State->Machines.watch(Limit);
}

void membership_agent::tick() {
  state &S = *State;
  if (S.Drained || S.Replaced)
    return;
  S.hastenRenewalOnChange();
  S.runIfDue(S.Renewal, S.Settings.Lease.RenewInterval, [&S] { S.renew(); });
  S.runIfDue(S.MachineReads, S.machinesInterval(), [&S] { S.Machines.read(); });
  if (S.mayDecide()) {
    const nanoseconds Interval =
        S.Settings.Lease.RenewInterval * S.pollIntervalFactor();
    if (S.Zone.hasPendingRelease(S.Clock.now()))
      S.OwnZone.hasten(S.Clock.now());
    S.runIfDue(S.OwnZone, Interval, [&S] { S.updateOwnZone(); });
    S.runIfDue(S.OtherZones, Interval, [&S] { S.readOtherZone(); });
  }
  S.logLeaseChange();
  S.Leases.logLostHosts();
  S.publish();
}

} // namespace spindle
