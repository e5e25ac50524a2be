#include "LibGateway/limit_fleet.h"

#include <algorithm>
#include <string>

namespace spindle {

static constexpr milliseconds Step{50};
static constexpr milliseconds ExchangeInterval{250};
static constexpr milliseconds ViewLag{1'000};
// Hosts answer for a limit from this long after they received it.
static constexpr milliseconds ToldDelay{500};
static constexpr milliseconds Window{4'000};

limit_fleet::limit_fleet(std::size_t Zones, std::size_t HostsPerZone,
                         milliseconds ResponseTime)
    : HostsPerZone(HostsPerZone), ResponseTime(ResponseTime),
      CutZones(Zones, false) {
  Clock.pause();
  NextExchange = Clock.now();
  for (std::size_t Index = 0; Index < Zones * HostsPerZone; ++Index) {
    host &Host = Hosts.emplace_back();
    Host.Location.Zone = "z" + std::to_string(Index / HostsPerZone);
    Host.Location.Name = "h" + std::to_string(Index);
    Host.Table = std::make_unique<fleet_table>(Clock, Host.Location.Zone);
    Host.ViewChangesAt = Clock.now();
  }
  Upstream = makeUpstream();
  for (const host &Host : Hosts)
    Host.Table->applyUpstreams({Upstream});
}

upstream_pointer limit_fleet::makeUpstream() const {
  upstream_entry Entry;
  Entry.Name = "e";
  Entry.Id = upstream_id::ofName(Entry.Name);
  Entry.Service = "models";
  Entry.Zone = "z0";
  Entry.Slots = 8;
  Entry.StartedAt = StartedAt;
  return std::make_shared<const upstream_entry>(Entry);
}

void limit_fleet::restartUpstream() {
  ++StartedAt;
  Limit.reset();
  Upstream = makeUpstream();
  Requests.clear();
  for (host &Host : Hosts) {
    Host.Table->applyUpstreams({Upstream});
    Host.ToldAt.reset();
  }
}

void limit_fleet::setRegistered(std::size_t Index, bool IsRegistered) {
  if (Hosts[Index].IsRegistered == IsRegistered)
    return;
  Hosts[Index].IsRegistered = IsRegistered;
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
    Hosts[Other].ViewChangesAt =
        Clock.now() + ViewLag * Other / static_cast<int>(Hosts.size());
}

void limit_fleet::applyViews() {
  std::vector<host_location> Registered;
  for (const host &Host : Hosts)
    if (Host.IsRegistered)
      Registered.push_back(Host.Location);
  for (host &Host : Hosts) {
    if (Clock.now() < Host.ViewChangesAt)
      continue;
    Host.Table->setHosts(Registered, Host.Location.Name);
    Host.ViewChangesAt = time_point::max();
  }
}

void limit_fleet::answer() {
  upstream_statement Statement;
  Statement.RequestsPerSecond = Limit;
  for (request &Request : Requests) {
    if (Request.IsAnswered || Clock.now() < Request.SentAt + ResponseTime)
      continue;
    Request.IsAnswered = true;
    host &Host = Hosts[Request.Host];
    Host.Table->noteStatement(Upstream->Id, Statement, Request.SentAt);
    if (Limit && !Host.ToldAt)
      Host.ToldAt = Clock.now();
  }
}

void limit_fleet::send() {
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const host &Host = Hosts[Index];
    if (!Host.Table->admit(Upstream->Id))
      continue;
    const bool WasTold = Host.ToldAt && *Host.ToldAt + ToldDelay <= Clock.now();
    Requests.push_back({Index, Clock.now(), false, WasTold});
  }
}

bool limit_fleet::areConnected(std::size_t One, std::size_t Other) const {
  const std::size_t ZoneOfOne = One / HostsPerZone;
  const std::size_t ZoneOfOther = Other / HostsPerZone;
  return ZoneOfOne == ZoneOfOther ||
         (!CutZones[ZoneOfOne] && !CutZones[ZoneOfOther]);
}

void limit_fleet::exchangeBetween(std::size_t From, std::size_t To) {
  if (!areConnected(From, To))
    return;
  host_link::UpstreamStatements Message;
  Hosts[From].Table->writeStatements(Message);
  Hosts[To].Table->mergeStatements(Message);
}

void limit_fleet::exchange() {
  if (Clock.now() < NextExchange)
    return;
  NextExchange = Clock.now() + ExchangeInterval;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const std::size_t Leader = Index - Index % HostsPerZone;
    exchangeBetween(Index, Leader);
    exchangeBetween(Leader, Index);
    if (Leader != Index)
      continue;
    for (std::size_t Other = 0; Other < Hosts.size(); Other += HostsPerZone)
      exchangeBetween(Index, Other);
  }
}

void limit_fleet::run(milliseconds Time) {
  for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
    Clock.advance(Step);
    applyViews();
    answer();
    exchange();
    send();
  }
}

std::size_t limit_fleet::busiestFourSeconds(milliseconds Past) const {
  std::vector<time_point> Sent;
  for (const request &Request : Requests)
    if (Request.WasTold && Request.SentAt >= Clock.now() - Past)
      Sent.push_back(Request.SentAt);
  std::size_t Most = 0;
  for (auto First = Sent.begin(); First != Sent.end(); ++First) {
    const auto Last = std::upper_bound(First, Sent.end(), *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

std::size_t limit_fleet::sentWithin(milliseconds Past) const {
  return static_cast<std::size_t>(std::count_if(
      Requests.begin(), Requests.end(), [this, Past](const request &Request) {
        return Request.SentAt >= Clock.now() - Past;
      }));
}

} // namespace spindle
