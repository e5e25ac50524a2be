#include "LibResilience/peer_health.h"

#include <algorithm>
#include <cmath>

namespace spindle {

/// The weight of a new sample in the mean and in the deviation.
static constexpr double MeanGain = 1.0 / 8;
static constexpr double DeviationGain = 1.0 / 4;
/// An adapted deadline is Slack * (mean + Deviations * deviation), so that a
/// long prompt or a full batch does not exceed it.
static constexpr double Deviations = 4;
static constexpr double Slack = 3;
static constexpr std::uint32_t MaxDeadlineDoublings = 6;

static void addSample(latency_estimate &Estimate, nanoseconds Latency) {
  const double Seconds =
      std::chrono::duration<double>(std::max(Latency, nanoseconds(0))).count();
  if (Estimate.Samples == 0) {
    Estimate = {Seconds, Seconds / 2, 1};
    return;
  }
  const double Error = Seconds - Estimate.MeanSeconds;
  Estimate.MeanSeconds += MeanGain * Error;
  Estimate.DeviationSeconds +=
      DeviationGain * (std::abs(Error) - Estimate.DeviationSeconds);
  ++Estimate.Samples;
}

static void noteResponse(peer_health &Health, time_point Now) {
  Health.LastResponse = std::max(Health.LastResponse, Now);
  Health.Suspect = false;
}

void noteFirstByte(peer_health &Health, nanoseconds Latency, time_point Now) {
  addSample(Health.FirstByte, Latency);
  noteResponse(Health, Now);
  if (Health.DeadlineDoublings > 0 &&
      ++Health.ResponsesSinceMissedDeadline >= Health.Settings.MinSamples)
    Health.DeadlineDoublings = 0;
}

void noteNextBytes(peer_health &Health, nanoseconds Gap, time_point Now) {
  addSample(Health.BetweenBytes, Gap);
  noteResponse(Health, Now);
}

static milliseconds adaptDeadline(const peer_health &Health,
                                  const latency_estimate &Estimate,
                                  milliseconds Minimum, milliseconds Route) {
  if (Estimate.Samples < Health.Settings.MinSamples)
    return Route;
  const double MinimumSeconds = std::chrono::duration<double>(Minimum).count();
  const double Seconds = std::max(
      Slack * (Estimate.MeanSeconds + Deviations * Estimate.DeviationSeconds),
      MinimumSeconds);
  const double Extended =
      std::ldexp(Seconds, static_cast<int>(Health.DeadlineDoublings));
  const double RouteSeconds = std::chrono::duration<double>(Route).count();
  if (Extended >= RouteSeconds)
    return Route;
  return milliseconds(static_cast<std::int64_t>(Extended * 1'000));
}

call_deadlines deadlinesFor(const peer_health &Health,
                            const call_deadlines &Route) {
  const call_deadlines &MinDeadlines = Health.Settings.MinDeadlines;
  return {adaptDeadline(Health, Health.FirstByte, MinDeadlines.FirstByte,
                        Route.FirstByte),
          adaptDeadline(Health, Health.BetweenBytes, MinDeadlines.BetweenBytes,
                        Route.BetweenBytes)};
}

connection_advice noteMissedDeadline(peer_health &Health) {
  Health.Suspect = true;
  Health.ResponsesSinceMissedDeadline = 0;
  Health.DeadlineDoublings =
      std::min(Health.DeadlineDoublings + 1, MaxDeadlineDoublings);
  return connection_advice::VerifyPool;
}

connection_advice noteVerified(peer_health &Health, bool Responded,
                               nanoseconds Latency, nanoseconds Deadline,
                               time_point Now) {
  if (!Responded)
    return connection_advice::PeerDown;
  if (Latency <= Deadline)
    Health.DeadlineDoublings = 0;
  noteResponse(Health, Now);
  return connection_advice::Keep;
}

connection_choice chooseConnection(const peer_health &Health, bool Idempotent) {
  if (!Idempotent || Health.Suspect)
    return connection_choice::Fresh;
  return connection_choice::Pooled;
}

void deprioritize(peer_health &Health, time_point Now) {
  Health.DeprioritizedUntil = Now + Health.Settings.DeprioritizeTime;
}

bool isDeprioritized(const peer_health &Health, time_point Now) {
  return Health.Suspect && Now < Health.DeprioritizedUntil;
}

void noteLost(peer_health &Health, time_point Now) { Health.LostAt = Now; }

bool isLost(const peer_health &Health, time_point Now) {
  return Health.LostAt > Health.LastResponse &&
         Now - Health.LostAt < Health.Settings.LossAvoidanceTime;
}

bool probeDue(const peer_health &Health, time_point Now) {
  return Now - Health.LastResponse >= Health.Settings.ProbeIdleAfter;
}

} // namespace spindle
