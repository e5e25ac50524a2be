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
static constexpr std::uint32_t MostWidened = 6;

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

static void hear(peer_health &Health, time_point Now) {
  Health.LastHeard = std::max(Health.LastHeard, Now);
  Health.Suspect = false;
}

void noteFirstByte(peer_health &Health, nanoseconds Latency, time_point Now) {
  addSample(Health.FirstByte, Latency);
  hear(Health, Now);
  if (Health.Widened > 0 &&
      ++Health.AnswersSinceSilence >= Health.Settings.LeastSamples)
    Health.Widened = 0;
}

void noteNextBytes(peer_health &Health, nanoseconds Gap, time_point Now) {
  addSample(Health.BetweenBytes, Gap);
  hear(Health, Now);
}

static milliseconds adapt(const peer_health &Health,
                          const latency_estimate &Estimate, milliseconds Least,
                          milliseconds Route) {
  if (Estimate.Samples < Health.Settings.LeastSamples)
    return Route;
  const double LeastSeconds = std::chrono::duration<double>(Least).count();
  const double Seconds = std::max(
      Slack * (Estimate.MeanSeconds + Deviations * Estimate.DeviationSeconds),
      LeastSeconds);
  const double Wide = std::ldexp(Seconds, static_cast<int>(Health.Widened));
  const double RouteSeconds = std::chrono::duration<double>(Route).count();
  if (Wide >= RouteSeconds)
    return Route;
  return milliseconds(static_cast<std::int64_t>(Wide * 1'000));
}

call_deadlines deadlinesFor(const peer_health &Health,
                            const call_deadlines &Route) {
  const call_deadlines &Least = Health.Settings.Least;
  return {adapt(Health, Health.FirstByte, Least.FirstByte, Route.FirstByte),
          adapt(Health, Health.BetweenBytes, Least.BetweenBytes,
                Route.BetweenBytes)};
}

connection_advice noteSilence(peer_health &Health) {
  Health.Suspect = true;
  Health.AnswersSinceSilence = 0;
  Health.Widened = std::min(Health.Widened + 1, MostWidened);
  return connection_advice::VerifyPool;
}

connection_advice noteVerified(peer_health &Health, bool Answered,
                               nanoseconds Latency, nanoseconds Deadline,
                               time_point Now) {
  if (!Answered)
    return connection_advice::PeerDown;
  if (Latency <= Deadline)
    Health.Widened = 0;
  hear(Health, Now);
  return connection_advice::Keep;
}

connection_choice chooseConnection(const peer_health &Health, bool Idempotent) {
  if (!Idempotent || Health.Suspect)
    return connection_choice::Fresh;
  return connection_choice::Pooled;
}

void noteDoubted(peer_health &Health, time_point Now) {
  Health.DoubtedUntil = Now + Health.Settings.DoubtTime;
}

bool isDoubted(const peer_health &Health, time_point Now) {
  return Health.Suspect && Now < Health.DoubtedUntil;
}

void noteLost(peer_health &Health, time_point Now) { Health.LostAt = Now; }

bool isLost(const peer_health &Health, time_point Now) {
  return Health.LostAt > Health.LastHeard &&
         Now - Health.LostAt < Health.Settings.LostTime;
}

bool probeDue(const peer_health &Health, time_point Now) {
  return Now - Health.LastHeard >= Health.Settings.ProbeIdleAfter;
}

} // namespace spindle
