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

static void warmUpUntil(upstream_admission &Admission,
                        const upstream_entry &Upstream, time_point Until) {
  Admission.WarmUps[Upstream.Id] = Until;
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

void retainUpstreams(upstream_admission &Admission,
                     const std::set<upstream_id> &Registered) {
  const auto IsGone = [&Registered](const auto &Entry) {
    return !Registered.contains(Entry.first);
  };
  std::erase_if(Admission.WarmUps, IsGone);
  std::erase_if(Admission.Limits.Limits, IsGone);
  std::erase_if(Admission.Refusals, IsGone);
  std::erase_if(Admission.LastSends, IsGone);
}

void noteRegistration(upstream_admission &Admission,
                      const upstream_entry &Upstream, time_point Now) {
  noteStart(Admission.Limits, Upstream);
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

static time_point refusedUntil(const upstream_admission &Admission,
                               const upstream_entry &Upstream) {
  const auto Refusal = Admission.Refusals.find(Upstream.Id);
  const bool Holds = Refusal != Admission.Refusals.end() &&
                     Refusal->second.StartedAt == Upstream.StartedAt;
  return Holds ? Refusal->second.Until : time_point();
}

void noteRefusal(upstream_admission &Admission, const upstream_entry &Upstream,
                 milliseconds Time, time_point Now) {
  const time_point Known = refusedUntil(Admission, Upstream);
  Admission.Refusals[Upstream.Id] = {Upstream.StartedAt,
                                     std::max(Known, Now + Time)};
}

bool isEvacuated(const upstream_admission &Admission,
                 const upstream_entry &Upstream) {
  return Admission.EvacuatedZones.contains(Upstream.Zone);
}

bool isWarmingUp(const upstream_admission &Admission,
                 const upstream_entry &Upstream, time_point Now) {
  const auto Until = Admission.WarmUps.find(Upstream.Id);
  return warmUpRate(Admission, Upstream) > 0 &&
         Until != Admission.WarmUps.end() && Until->second > Now;
}

std::optional<double> sendRate(const upstream_admission &Admission,
                               const upstream_entry &Upstream, time_point Now) {
  const std::optional<double> Limit = limitOf(Admission.Limits, Upstream);
  if (!isWarmingUp(Admission, Upstream, Now))
    return Limit;
  const double WarmUpRate = warmUpRate(Admission, Upstream);
  return std::min(WarmUpRate, Limit.value_or(WarmUpRate));
}

std::optional<time_point> nextSendAt(const upstream_admission &Admission,
                                     const upstream_entry &Upstream,
                                     time_point Now) {
  if (isEvacuated(Admission, Upstream))
    return std::nullopt;
  const time_point AcceptsFrom = refusedUntil(Admission, Upstream);
  const std::optional<double> Rate = sendRate(Admission, Upstream, Now);
  if (!Rate)
    return AcceptsFrom;
  const std::optional<nanoseconds> Interval =
      sendInterval(Upstream, *Rate, Admission.Hosts, Admission.OwnName);
  if (!Interval)
    return std::nullopt;
  const auto LastSend = Admission.LastSends.find(Upstream.Id);
  if (LastSend == Admission.LastSends.end())
    return AcceptsFrom;
  return std::max(AcceptsFrom, LastSend->second + *Interval);
}

bool maySend(const upstream_admission &Admission,
             const upstream_entry &Upstream, time_point Now) {
  const std::optional<time_point> Next = nextSendAt(Admission, Upstream, Now);
  return Next && *Next <= Now;
}

bool admitSend(upstream_admission &Admission, const upstream_entry &Upstream,
               time_point Now) {
  if (!maySend(Admission, Upstream, Now))
    return false;
  Admission.LastSends[Upstream.Id] = Now;
  return true;
}

} // namespace spindle
