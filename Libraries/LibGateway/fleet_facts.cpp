#include "LibGateway/fleet_table.h"

#include <algorithm>
#include <cmath>

namespace spindle {

static constexpr int MaxFactsPerMessage = 128;
/// Facts older than this are not passed on.
static constexpr milliseconds UnreportedValidity{3'000};
static constexpr std::uint32_t MaxUnreportedReads = 64;
static constexpr double MinReadRatio = 0.1;
static constexpr double MaxReadRatio = 10;
static constexpr double PercentAsExpected = 100;
static constexpr double SlowedFactor = 1.5;
/// The recipient of reports to the leader of this host's zone; leaders of other
/// zones have the names of their zones.
static constexpr std::string_view OwnLeader;

/// Precondition: Mutex is held.
fleet_table::known_upstream *fleet_table::findKnown(upstream_id Id) {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

void fleet_table::addReadTimes(unreported_facts &Unreported,
                               const read_time_samples &Added, time_point Now) {
  read_time_samples &Sum = Unreported.ReadTimes;
  Sum.RatioSum += Added.RatioSum;
  Sum.Count += Added.Count;
  Unreported.LastReadTime = Now;
  if (Sum.Count <= MaxUnreportedReads)
    return;
  Sum.RatioSum *= static_cast<double>(MaxUnreportedReads) / Sum.Count;
  Sum.Count = MaxUnreportedReads;
}

void fleet_table::noteReading(upstream_id Id, const engine_reading &Reading,
                              time_point At) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  known_upstream *const Known = findKnown(Id);
  if (!Known || (Known->Facts.Reading && At < Known->Facts.ReadAt))
    return;
  spindle::noteReading(Known->Facts, Reading, At);
  Known->OwnUnreported.HasReading = true;
  Known->RelayedUnreported.HasReading = false;
}

void fleet_table::noteReadTime(upstream_id Id, double ExpectedMilliseconds,
                               double ActualMilliseconds) {
  const double Ratio = ActualMilliseconds / ExpectedMilliseconds;
  if (!(ExpectedMilliseconds > 0) || !std::isfinite(Ratio) || Ratio < 0)
    return;
  const read_time_samples Sample{std::clamp(Ratio, MinReadRatio, MaxReadRatio),
                                 1};
  const std::lock_guard<std::mutex> Lock(Mutex);
  known_upstream *const Known = findKnown(Id);
  if (!Known)
    return;
  spindle::noteReadTimes(Known->Facts, Sample, Clock.now());
  addReadTimes(Known->OwnUnreported, Sample, Clock.now());
}

engine_facts fleet_table::facts(upstream_id Id) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? engine_facts{} : Found->second.Facts;
}

bool fleet_table::hasUnreported(const unreported_facts &Unreported) {
  return Unreported.HasReading || Unreported.ReadTimes.Count > 0;
}

/// Precondition: Mutex is held.
void fleet_table::dropExpiredUnreported(known_upstream &Known) const {
  const time_point Since = Clock.now() - UnreportedValidity;
  for (unreported_facts *const Unreported :
       {&Known.OwnUnreported, &Known.RelayedUnreported}) {
    Unreported->HasReading =
        Unreported->HasReading && Known.Facts.ReadAt >= Since;
    if (Unreported->LastReadTime < Since)
      Unreported->ReadTimes = {};
  }
}

static void writeReading(const engine_facts &Facts, time_point Now,
                         host_link::EngineFacts &Message) {
  const engine_reading &Reading = *Facts.Reading;
  Message.set_running(Reading.Running);
  Message.set_waiting(Reading.Waiting);
  Message.set_slots(Reading.Slots);
  if (Reading.Slowdown)
    Message.set_slowdown_percent(static_cast<std::uint32_t>(
        std::lround(*Reading.Slowdown * PercentAsExpected)));
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - Facts.ReadAt);
  Message.set_age_ms(std::max<std::int64_t>(0, Age.count()));
}

/// Writes the unreported facts of an engine and marks them as reported.
/// Precondition: Mutex is held.
void fleet_table::writeUnreported(known_upstream &Known,
                                  host_link::EngineFacts &Message) const {
  Message.set_upstream(Known.Entry->Id.Value);
  if (Known.OwnUnreported.HasReading || Known.RelayedUnreported.HasReading)
    writeReading(Known.Facts, Clock.now(), Message);
  const std::uint32_t Reads = Known.OwnUnreported.ReadTimes.Count +
                              Known.RelayedUnreported.ReadTimes.Count;
  const double RatioSum = Known.OwnUnreported.ReadTimes.RatioSum +
                          Known.RelayedUnreported.ReadTimes.RatioSum;
  if (Reads > 0) {
    Message.set_reads(Reads);
    Message.set_reading_percent(static_cast<std::uint32_t>(
        std::lround(RatioSum / Reads * PercentAsExpected)));
  }
  Known.OwnUnreported = {};
  Known.RelayedUnreported = {};
}

/// Writes the unreported facts of the engines of \p Zone, or of all. A report
/// begins after the engine at which the recipient's last one ended, so that
/// each gets its turn. Precondition: Mutex is held.
void fleet_table::writeFacts(std::string_view Recipient,
                             std::optional<std::string_view> Zone,
                             facts_field &Message) {
  upstream_id &Last = NextFacts[std::string(Recipient)];
  auto Next = Upstreams.upper_bound(Last);
  for (std::size_t Left = Upstreams.size();
       Left > 0 && Message.size() < MaxFactsPerMessage; --Left, ++Next) {
    if (Next == Upstreams.end())
      Next = Upstreams.begin();
    known_upstream &Known = Next->second;
    if (Zone && Known.Entry->Zone != *Zone)
      continue;
    dropExpiredUnreported(Known);
    if (!hasUnreported(Known.OwnUnreported) &&
        !hasUnreported(Known.RelayedUnreported))
      continue;
    writeUnreported(Known, *Message.Add());
    Last = Next->first;
  }
}

void fleet_table::writeOwnFacts(facts_field &Message) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  // What hosts reported to a former leader came from the recipient or will be
  // reported to it.
  for (auto &[Id, Known] : Upstreams)
    Known.RelayedUnreported = {};
  writeFacts(OwnLeader, std::nullopt, Message);
}

void fleet_table::writeFactsOf(std::string_view Zone, facts_field &Message) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  writeFacts(Zone, Zone, Message);
}

/// Precondition: Mutex is held.
void fleet_table::mergeReading(known_upstream &Known,
                               const host_link::EngineFacts &Reported,
                               facts_source Source) {
  engine_reading Reading{Reported.running(), Reported.waiting(),
                         Reported.slots(), std::nullopt};
  if (Reported.slowdown_percent() > 0)
    Reading.Slowdown = Reported.slowdown_percent() / PercentAsExpected;
  const milliseconds Age{Reported.age_ms()};
  if (Reading == engine_reading{} || Age < milliseconds(0) ||
      Age > UnreportedValidity)
    return;
  const time_point At = Clock.now() - Age;
  // It is of the engine before its restart.
  if (At < Known.KnownSince)
    return;
  const bool IsNewer = !Known.Facts.Reading || At > Known.Facts.ReadAt;
  spindle::noteReading(Known.Facts, Reading, At);
  if (!IsNewer)
    return;
  Known.OwnUnreported.HasReading = false;
  Known.RelayedUnreported.HasReading =
      Source == facts_source::HostOfZone && Known.Entry->Zone != OwnZone;
}

/// Precondition: Mutex is held.
void fleet_table::mergeReadTimes(known_upstream &Known,
                                 const host_link::EngineFacts &Reported,
                                 facts_source Source) {
  if (Reported.reads() == 0)
    return;
  const std::uint32_t Count = std::min(Reported.reads(), MaxUnreportedReads);
  const double Ratio =
      std::clamp(Reported.reading_percent() / PercentAsExpected, MinReadRatio,
                 MaxReadRatio);
  const read_time_samples Samples{Ratio * Count, Count};
  spindle::noteReadTimes(Known.Facts, Samples, Clock.now());
  if (Source == facts_source::HostOfZone && Known.Entry->Zone != OwnZone)
    addReadTimes(Known.RelayedUnreported, Samples, Clock.now());
}

void fleet_table::mergeFacts(const facts_field &Message, facts_source Source) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const host_link::EngineFacts &Reported : Message) {
    known_upstream *const Known = findKnown(upstream_id{Reported.upstream()});
    if (!Known)
      continue;
    mergeReading(*Known, Reported, Source);
    mergeReadTimes(*Known, Reported, Source);
  }
}

std::size_t fleet_table::slowedEngines() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Since = Clock.now() - UnreportedValidity;
  return static_cast<std::size_t>(std::count_if(
      Upstreams.begin(), Upstreams.end(), [Since](const auto &Pair) {
        const engine_facts &Facts = Pair.second.Facts;
        return Facts.Reading && Facts.ReadAt >= Since &&
               Facts.Reading->Slowdown.value_or(1) >= SlowedFactor;
      }));
}

} // namespace spindle
