#include "LibResilience/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace spindle {

/// The fraction by which each call reduces the weight of earlier calls.
static constexpr double DecayPerCall = 0.02;

static bool isEjected(const upstream_record &Record, time_point Now) {
  return Record.EjectedUntil > Now;
}

static std::size_t countEjected(const outlier_detector &Detector, zone_id Zone,
                                time_point Now) {
  std::size_t Count = 0;
  for (const auto &[Upstream, Record] : Detector.Upstreams)
    if (Record.Zone == Zone && isEjected(Record, Now))
      ++Count;
  return Count;
}

static void beginSlowStart(upstream_record &Record, time_point From) {
  Record.SlowStartAt = From;
  Record.FailuresInRow = 0;
  Record.Calls = 0;
  Record.Failures = 0;
}

static void liftEjection(upstream_record &Record, time_point Now) {
  Record.EjectedUntil = Now;
  beginSlowStart(Record, Now);
}

static bool isFailing(const outlier_settings &Settings,
                      const upstream_record &Record) {
  if (Record.FailuresInRow >= Settings.ConsecutiveFailures)
    return true;
  return Record.Calls >= Settings.MinCalls &&
         Record.Failures >= Settings.FailureRatio * Record.Calls;
}

static void eject(const outlier_settings &Settings, upstream_record &Record,
                  time_point Now) {
  milliseconds Length = Settings.EjectionTime;
  for (std::uint32_t Earlier = 0;
       Earlier < Record.Ejections && Length < Settings.MaxEjectionTime;
       ++Earlier)
    Length *= 2;
  ++Record.Ejections;
  Record.EjectedUntil = Now + std::min(Length, Settings.MaxEjectionTime);
  beginSlowStart(Record, Record.EjectedUntil);
}

/// Lifts the ejections that end first until the zone is within its limit.
static void enforceEjectionLimit(outlier_detector &Detector, zone_id Zone,
                                 time_point Now) {
  const std::size_t Limit = maxEjected(Detector, Zone);
  while (countEjected(Detector, Zone, Now) > Limit) {
    upstream_record *First = nullptr;
    for (auto &[Upstream, Record] : Detector.Upstreams)
      if (Record.Zone == Zone && isEjected(Record, Now) &&
          (First == nullptr || Record.EjectedUntil < First->EjectedUntil))
        First = &Record;
    liftEjection(*First, Now);
  }
}

void setUpstreams(outlier_detector &Detector,
                  std::span<const zoned_upstream> Entries, time_point Now) {
  std::unordered_map<upstream_id, upstream_record> Retained;
  std::set<zone_id> Zones;
  for (const zoned_upstream &Entry : Entries) {
    const auto Found = Detector.Upstreams.find(Entry.Upstream);
    if (Found != Detector.Upstreams.end())
      Retained[Entry.Upstream] = Found->second;
    Retained[Entry.Upstream].Zone = Entry.Zone;
    Zones.insert(Entry.Zone);
  }
  Detector.Upstreams = std::move(Retained);
  for (const zone_id Zone : Zones)
    enforceEjectionLimit(Detector, Zone, Now);
}

bool noteCallOutcome(outlier_detector &Detector, upstream_id Upstream,
                     call_outcome Outcome, time_point Now) {
  const auto Found = Detector.Upstreams.find(Upstream);
  if (Found == Detector.Upstreams.end() ||
      Outcome == call_outcome::LostToSuspect)
    return false;
  upstream_record &Record = Found->second;
  const bool Failed = Outcome == call_outcome::Failure;
  Record.FailuresInRow = Failed ? Record.FailuresInRow + 1 : 0;
  Record.Calls = Record.Calls * (1 - DecayPerCall) + 1;
  Record.Failures = Record.Failures * (1 - DecayPerCall) + (Failed ? 1 : 0);
  if (!Failed && Now - Record.SlowStartAt > Detector.Settings.SlowStart)
    Record.Ejections = 0;
  if (isEjected(Record, Now) || !isFailing(Detector.Settings, Record))
    return false;
  const std::size_t Ejected = countEjected(Detector, Record.Zone, Now);
  if (Ejected >= maxEjected(Detector, Record.Zone))
    return false;
  eject(Detector.Settings, Record, Now);
  return true;
}

void noteIncarnation(outlier_detector &Detector, upstream_id Upstream,
                     std::uint64_t Incarnation, time_point Now) {
  const auto Found = Detector.Upstreams.find(Upstream);
  if (Found == Detector.Upstreams.end() ||
      Found->second.Incarnation == Incarnation)
    return;
  const bool Restarted = Found->second.Incarnation != 0;
  Found->second.Incarnation = Incarnation;
  if (Restarted)
    liftEjection(Found->second, Now);
}

bool isEjected(const outlier_detector &Detector, upstream_id Upstream,
               time_point Now) {
  const auto Found = Detector.Upstreams.find(Upstream);
  return Found != Detector.Upstreams.end() && isEjected(Found->second, Now);
}

double weightOf(const outlier_detector &Detector, upstream_id Upstream,
                time_point Now) {
  const auto Found = Detector.Upstreams.find(Upstream);
  if (Found == Detector.Upstreams.end())
    return 1;
  const upstream_record &Record = Found->second;
  if (isEjected(Record, Now))
    return 0;
  const outlier_settings &Settings = Detector.Settings;
  if (isFailing(Settings, Record))
    return Settings.MinWeight;
  if (Record.SlowStartAt == time_point{})
    return 1;
  const std::chrono::duration<double> Since = Now - Record.SlowStartAt;
  const std::chrono::duration<double> Duration = Settings.SlowStart;
  const double Fraction =
      Duration.count() <= 0 ? 1 : Since.count() / Duration.count();
  return std::clamp(Fraction, Settings.MinWeight, 1.0);
}

std::size_t maxEjected(const outlier_detector &Detector, zone_id Zone) {
  std::size_t Count = 0;
  for (const auto &[Upstream, Record] : Detector.Upstreams)
    if (Record.Zone == Zone)
      ++Count;
  const double Limit =
      static_cast<double>(Count) * Detector.Settings.MaxEjectedFraction;
  return static_cast<std::size_t>(std::floor(Limit));
}

} // namespace spindle
