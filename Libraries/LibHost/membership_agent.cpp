#include "LibHost/membership_agent.h"

#include "LibCore/result_code.h"
#include "LibHost/call_schedule.h"
#include "LibHost/lease_renewer.h"
#include "LibHost/zone_table_manager.h"
#include "LibLog/log.h"
#include "LibMembership/lease_observer.h"
#include "LibMembership/machine_list.h"
#include "LibMembership/rendezvous.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <random>
#include <set>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

/// Hosts per zone that do the work that any host of the zone could do.
static constexpr std::size_t MaintainersInZone = 2;
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
        Observer(Settings.Lease), Lease(Clock, Platform, Settings),
        Zone(Clock, Platform, Settings), Random(Settings.Seed),
        View(std::make_shared<const host_view>()) {
    const time_point Now = Clock.now();
    Renewal.startWithin(FirstRenewalSpread, Now, Random);
    for (call_schedule *Schedule : {&Machines, &OwnZone, &OtherZones})
      Schedule->startWithin(FirstReadSpread, Now, Random);
  }

  void runIfDue(call_schedule &Schedule, nanoseconds Interval,
                const std::function<void()> &Work);
  std::size_t pollIntervalFactor();
  void renew();
  void readMachines();
  void noteMachineEvent(const platform_event &Event);
  std::uint64_t machinesVersion();
  bool isLeaving() const;
  void updateOwnZone();
  void readOtherZone();
  void observeZone(const std::string &Name);
  void removeStaleLeases(const platform_list &List);
  std::vector<std::string> liveHosts();
  bool isMaintainer(const std::vector<std::string> &LiveHosts) const;
  bool mayDecide() const;
  void hastenRenewalOnChange();
  nanoseconds machinesInterval() const;
  void logLeaseChange();
  void logLostHosts();
  zone_decision_input facts();
  host_view buildView();
  void addPeers(host_view &NewView);
  void publish();

  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  std::vector<listener> Listeners;

  // Used by tick()'s fiber only.
  lease_observer Observer;
  lease_renewer Lease;
  zone_table_manager Zone;
  std::map<std::string, zone_table> OtherTables;
  std::mt19937_64 Random;
  call_schedule Renewal;
  call_schedule Machines;
  call_schedule OwnZone;
  call_schedule OtherZones;
  std::set<std::string> KnownLiveHosts;
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
  machine_list KnownMachines;
  /// The version from which the watch of machines resumes; nullopt until the
  /// machine list has been read again.
  std::optional<std::uint64_t> MachinesVersion;
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
  return State->DrainRequested || State->isLeaving();
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
  const std::vector<std::string> Live = liveHosts();
  if (isMaintainer(Live))
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

void membership_agent::state::readMachines() {
  const platform_list List = Platform.List(platform_kind::Machines);
  const lock Lock(Mutex);
  KnownMachines = spindle::readMachines(List);
  MachinesVersion = List.Version;
}

bool membership_agent::state::isLeaving() const {
  const lock Lock(Mutex);
  return KnownMachines.DrainingHosts.count(Settings.Name) != 0;
}

void membership_agent::state::noteMachineEvent(const platform_event &Event) {
  const lock Lock(Mutex);
  MachinesVersion = Event.Object.Version;
  if (Event.Change == platform_change::Deleted)
    removeMachine(KnownMachines, Event.Object.Name);
  else
    updateMachine(KnownMachines, Event.Object);
}

/// The version from which a watch may resume; reads the machine list if there
/// is none.
std::uint64_t membership_agent::state::machinesVersion() {
  {
    const lock Lock(Mutex);
    if (MachinesVersion)
      return *MachinesVersion;
  }
  readMachines();
  const lock Lock(Mutex);
  return MachinesVersion.value_or(0);
}

bool membership_agent::watchMachines(milliseconds Limit) {
  state &S = *State;
  try {
    S.Platform.Watch(platform_kind::Machines, S.machinesVersion(), Limit,
                     [&S](const platform_event &Event) {
                       S.noteMachineEvent(Event);
                       return true;
                     });
    return true;
  } catch (const spindle_error &Error) {
    const lock Lock(S.Mutex);
    S.MachinesVersion.reset();
    return Error.code() == result_code::PlatformTooOld;
  }
}

/// Reads the leases of one zone.
void membership_agent::state::observeZone(const std::string &Name) {
  const time_point SentAt = Clock.now();
  const platform_list List = Platform.List(leaseKind(Name));
  const time_point ReceivedAt = Clock.now();
  std::set<std::string> Missing;
  for (const auto &[Host, Record] : Observer.records())
    if (Record.Zone == Name)
      Missing.insert(Host);
  for (const platform_object &Object : List.Objects) {
    Observer.observe(Object.Name, readLease(Object.Body), SentAt, ReceivedAt);
    Missing.erase(Object.Name);
  }
  for (const std::string &Host : Missing)
    Observer.observe(Host, std::nullopt, SentAt, ReceivedAt);
  if (Name == Settings.Zone && isMaintainer(liveHosts()))
    removeStaleLeases(List);
}

/// Removes leases of hosts that have stopped and whose machines no longer
/// exist.
void membership_agent::state::removeStaleLeases(const platform_list &List) {
  for (const platform_object &Object : List.Objects) {
    const lease_record Record = readLease(Object.Body);
    {
      const lock Lock(Mutex);
      if (KnownMachines.Hosts.count(Object.Name) != 0)
        continue;
    }
    const bool IsLost =
        Object.Name != Settings.Name &&
        Observer.leaseStatus(Object.Name, Record.Incarnation, 0, 0, Clock.now())
            .ShareExpired;
    if (!IsLost || Zone.table().Hosts.count(Object.Name) != 0)
      continue;
    Platform.Remove(leaseKind(Settings.Zone), Object.Name, Object.Version);
  }
}

std::vector<std::string> membership_agent::state::liveHosts() {
  std::vector<std::string> Live;
  for (const auto &[Host, Record] : Observer.records()) {
    const bool TakesWork = Record.Zone == Settings.Zone &&
                           Host != Settings.Name && !Record.Draining &&
                           Observer.isLive(Host);
    if (TakesWork)
      Live.push_back(Host);
  }
  if (!Draining)
    Live.push_back(Settings.Name);
  return Live;
}

bool membership_agent::state::isMaintainer(
    const std::vector<std::string> &LiveHosts) const {
  std::vector<host_id> Others;
  for (const std::string &Host : LiveHosts)
    if (Host != Settings.Name)
      Others.push_back(host_id::ofName(Host));
  return rendezvousRank(hashName(Settings.Zone), host_id::ofName(Settings.Name),
                        Others) < MaintainersInZone;
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
  Facts.LiveHosts = liveHosts();
  Facts.IsMaintainer = isMaintainer(Facts.LiveHosts);
  Facts.LeaseStatusOf =
      [this](const std::string &Host, std::uint64_t Incarnation,
             std::uint64_t LeaseTerm, std::uint64_t ShareTerm) {
        return Observer.leaseStatus(Host, Incarnation, LeaseTerm, ShareTerm,
                                    Clock.now());
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
  {
    const lock Lock(Mutex);
    Observer.observeMachines(KnownMachines.Hosts);
  }
  observeZone(Settings.Zone);
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
  observeZone(Name);
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ZoneTables, Name);
  if (Object)
    OtherTables[Name] = readZoneTable(Object->Body);
}

/// Logs hosts that held their lease when last observed and no longer do.
void membership_agent::state::logLostHosts() {
  for (const auto &[Host, Record] : Observer.records()) {
    if (Observer.isLive(Host)) {
      KnownLiveHosts.insert(Host);
      continue;
    }
    if (KnownLiveHosts.erase(Host) != 0 && !Record.Stopped)
      logEvent(log_event::HostLost, {{"host", Host}, {"zone", Record.Zone}});
  }
}

void membership_agent::state::logLeaseChange() {
  const bool Holds = Lease.leaseTerm().holds(Clock.now());
  if (HeldLease && !Holds)
    logEvent(log_event::LeaseLost, {{"host", Settings.Name}});
  if (!HeldLease && Holds)
    logEvent(log_event::LeaseRegained, {{"host", Settings.Name}});
  HeldLease = Holds;
}

void membership_agent::state::addPeers(host_view &NewView) {
  for (const auto &[Host, Record] : Observer.records()) {
    if (Host == Settings.Name || !Observer.isLive(Host))
      continue;
    NewView.Peers.push_back(
        {host_id::ofName(Host), Host, zone_id::ofName(Record.Zone), Record.Link,
         Record.Incarnation, Record.ConfigurationVersion, Record.Draining});
  }
  for (const std::string &Host : Observer.lapsedHosts())
    if (Host != Settings.Name)
      NewView.LapsedHosts.push_back(
          {host_id::ofName(Host), Observer.records().at(Host).Incarnation});
  const zone_id Own = zone_id::ofName(Settings.Zone);
  std::stable_partition(
      NewView.Peers.begin(), NewView.Peers.end(),
      [Own](const peer_host &Peer) { return Peer.Zone == Own; });
  NewView.FleetHosts = static_cast<std::uint32_t>(NewView.Peers.size() + 1);
}

host_view membership_agent::state::buildView() {
  host_view NewView;
  const time_point Now = Clock.now();
  NewView.Sequence = ++Sequence;
  addPeers(NewView);
  for (const auto &[Host, Incarnation] : Observer.goneIncarnations())
    NewView.GoneIncarnations[host_id::ofName(Host)] = Incarnation;
  for (const auto &[Name, Table] : OtherTables)
    addOwners(NewView, Table);
  Zone.addOwnZone(NewView, Lease, Now);
  NewView.PlatformReachable = Reachable;
  const lock Lock(Mutex);
  for (const std::string &Upstream : KnownMachines.DrainingUpstreams)
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
/// not been replaced, and knows the zones and engines.
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
  const std::size_t Count = KnownMachines.Hosts.size() + Upstreams;
  const milliseconds ForAll(Count * 1'000 / MachinesReadPerSecond);
  return std::max(Settings.MachinesInterval, ForAll);
}

void membership_agent::tick() {
  state &S = *State;
  if (S.Drained || S.Replaced)
    return;
  S.hastenRenewalOnChange();
  S.runIfDue(S.Renewal, S.Settings.Lease.RenewInterval, [&S] { S.renew(); });
  S.runIfDue(S.Machines, S.machinesInterval(), [&S] { S.readMachines(); });
  if (S.mayDecide()) {
    const nanoseconds Interval =
        S.Settings.Lease.RenewInterval * S.pollIntervalFactor();
    if (S.Zone.hasPendingRelease(S.Clock.now()))
      S.OwnZone.hasten(S.Clock.now());
    S.runIfDue(S.OwnZone, Interval, [&S] { S.updateOwnZone(); });
    S.runIfDue(S.OtherZones, Interval, [&S] { S.readOtherZone(); });
  }
  S.logLeaseChange();
  S.logLostHosts();
  S.publish();
}

} // namespace spindle
