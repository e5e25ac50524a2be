#include "LibGateway/upstream_admission.h"

#include <algorithm>

namespace spindle {

// A restart of an upstream is known to all hosts within this time.
static constexpr milliseconds RegistrationDelay{1'500};

static double warmUpRate(const upstream_admission &Admission,
                         const upstream_entry &Upstream) {
  const auto Rate = Admission.WarmUpRates.find(Upstream.Service);
  return Rate == Admission.WarmUpRates.end() ? 0 : Rate->second;
}

static std::optional<nanoseconds>
ownInterval(const upstream_admission &Admission,
            const upstream_entry &Upstream) {
  return warmUpInterval(Upstream, warmUpRate(Admission, Upstream),
                        Admission.Hosts, Admission.OwnName);
}

static void warmUpUntil(upstream_admission &Admission,
                        const upstream_entry &Upstream, time_point Until) {
  upstream_warm_up &WarmUp = Admission.WarmUps[Upstream.Id];
  WarmUp.Until = Until;
  WarmUp.Interval = ownInterval(Admission, Upstream);
}

void setHosts(upstream_admission &Admission, std::vector<host_location> Hosts,
              std::string OwnName,
              std::span<const upstream_pointer> Upstreams) {
  if (Admission.Hosts == Hosts && Admission.OwnName == OwnName)
    return;
  Admission.Hosts = std::move(Hosts);
  Admission.OwnName = std::move(OwnName);
  for (const upstream_pointer &Upstream : Upstreams) {
    const auto WarmUp = Admission.WarmUps.find(Upstream->Id);
    if (WarmUp != Admission.WarmUps.end())
      WarmUp->second.Interval = ownInterval(Admission, *Upstream);
  }
}

void setEvacuatedZones(upstream_admission &Admission,
                       std::set<std::string, std::less<>> Zones,
                       std::span<const upstream_pointer> Upstreams,
                       time_point Now) {
  for (const upstream_pointer &Upstream : Upstreams) {
    const bool Returns =
        isEvacuated(Admission, *Upstream) && !Zones.contains(Upstream->Zone);
    if (Returns && !isWarmingUp(Admission, *Upstream, Now + RegistrationDelay))
      warmUpUntil(Admission, *Upstream, Now + RegistrationDelay);
  }
  Admission.EvacuatedZones = std::move(Zones);
}

void noteRegistration(upstream_admission &Admission,
                      const upstream_entry &Upstream, time_point Now) {
  if (Upstream.WarmUpLeft > milliseconds(0))
    warmUpUntil(Admission, Upstream, Now + Upstream.WarmUpLeft);
  else
    Admission.WarmUps.erase(Upstream.Id);
}

void noteUnreachable(upstream_admission &Admission,
                     const upstream_entry &Upstream, time_point Now) {
  if (!isWarmingUp(Admission, Upstream, Now + RegistrationDelay))
    warmUpUntil(Admission, Upstream, Now + RegistrationDelay);
}

bool isEvacuated(const upstream_admission &Admission,
                 const upstream_entry &Upstream) {
  return Admission.EvacuatedZones.contains(Upstream.Zone);
}

bool isWarmingUp(const upstream_admission &Admission,
                 const upstream_entry &Upstream, time_point Now) {
  const auto WarmUp = Admission.WarmUps.find(Upstream.Id);
  return warmUpRate(Admission, Upstream) > 0 &&
         WarmUp != Admission.WarmUps.end() && WarmUp->second.Until > Now;
}

bool maySend(const upstream_admission &Admission,
             const upstream_entry &Upstream, time_point Now) {
  if (isEvacuated(Admission, Upstream))
    return false;
  if (!isWarmingUp(Admission, Upstream, Now))
    return true;
  const upstream_warm_up &WarmUp = Admission.WarmUps.at(Upstream.Id);
  return WarmUp.Interval && WarmUp.NextSendAt <= Now;
}

bool admitSend(upstream_admission &Admission, const upstream_entry &Upstream,
               time_point Now) {
  if (!maySend(Admission, Upstream, Now))
    return false;
  if (!isWarmingUp(Admission, Upstream, Now))
    return true;
  upstream_warm_up &WarmUp = Admission.WarmUps.at(Upstream.Id);
  WarmUp.NextSendAt = Now + *WarmUp.Interval;
  return true;
}

} // namespace spindle
