#include "LibRouting/engine_facts.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace spindle {

namespace {

constexpr double MinFactor = 0.1;
constexpr double MaxFactor = 20;
/// How far one report of reading times may be from the known factor.
constexpr double MaxStep = 3;
/// A prompt or reading weighs as much as the time since the one before, but at
/// most this, so that single ones decide nothing.
constexpr double MaxPromptWeight = 0.2;
constexpr double MaxReadingWeight = 0.1;
/// A prompt weighs at least this, as reports of several hosts arrive together.
constexpr double MinPromptWeight = 0.02;
constexpr std::uint32_t MaxCountedPrompts = 64;
constexpr std::chrono::duration<double> PromptMemory{0.7};
constexpr std::chrono::duration<double> ReadingMemory{3};
/// A slowdown above this counts as not stated.
constexpr double MaxStatedSlowdown = 100;
constexpr std::uint32_t MaxWaiting = 10'000;
/// The mean time that a slowdown lasts, and that its statement is of use. The
/// latter is shorter, as a stated slowdown has lasted for an unknown time.
constexpr std::chrono::duration<double> SlowdownPersistence{0.4};
constexpr std::chrono::duration<double> ReadingPersistence{0.1};
constexpr milliseconds WaitingValidity{1'000};
/// A figure that was not renewed for this long begins to decay towards 1.
constexpr seconds FactorValidity{10};
constexpr std::chrono::duration<double> FactorDecay{5};

double bounded(double Factor) {
  return std::isfinite(Factor) ? std::clamp(Factor, MinFactor, MaxFactor) : 1;
}

/// \p Factor of \p At, or, if it is old, a value between it and \p Assumed.
double decayed(double Factor, double Assumed, time_point At, time_point Now) {
  const std::chrono::duration<double> Excess = Now - At - FactorValidity;
  if (Excess.count() <= 0)
    return Factor;
  return Assumed + (Factor - Assumed) * std::exp(-Excess / FactorDecay);
}

double usualSlowdown(const engine_facts &Facts, time_point Now) {
  return Facts.Reading
             ? decayed(bounded(Facts.UsualSlowdown), 1, Facts.ReadAt, Now)
             : 1;
}

double lastingFactor(const engine_facts &Facts, time_point Now) {
  const double Usual = usualSlowdown(Facts, Now);
  if (!Facts.TimeFactorAt)
    return Usual;
  return decayed(bounded(Facts.TimeFactor), Usual, *Facts.TimeFactorAt, Now);
}

/// The part of work of that length, begun now, during which a slowdown stated
/// \p Age ago is expected to last.
double weightOfSlowdown(nanoseconds Age, nanoseconds Duration) {
  const double Elapsed = std::max(nanoseconds(0), Age) / ReadingPersistence;
  const double Length =
      std::max(nanoseconds(1), Duration) / SlowdownPersistence;
  return std::exp(-Elapsed) * -std::expm1(-Length) / Length;
}

/// The weight of a value that follows the one before after \p Elapsed, in an
/// average over \p Memory.
double weightOfTime(nanoseconds Elapsed, std::chrono::duration<double> Memory) {
  return -std::expm1(-std::max(nanoseconds(0), Elapsed) / Memory);
}

/// The weight of \p Count values that each weigh \p Weight.
double weightOfCount(std::uint32_t Count, double Weight) {
  return 1 - std::pow(1 - Weight, std::min(Count, MaxCountedPrompts));
}

/// The weight of a reading of \p At in the average of slowdowns.
double weightOfReading(const engine_facts &Facts, time_point At) {
  if (!Facts.Reading)
    return MaxReadingWeight;
  return std::min(MaxReadingWeight,
                  weightOfTime(At - Facts.ReadAt, ReadingMemory));
}

double weightOfPrompts(const engine_facts &Facts, std::uint32_t Count,
                       time_point Now) {
  const double Most = weightOfCount(Count, MaxPromptWeight);
  if (!Facts.TimeFactorAt)
    return Most;
  const double OfTime = weightOfTime(Now - *Facts.TimeFactorAt, PromptMemory);
  return std::min(Most,
                  std::max(OfTime, weightOfCount(Count, MinPromptWeight)));
}

/// Orders readings of one moment, so that hosts that receive them in different
/// orders keep the same one.
bool precedes(const engine_reading &One, const engine_reading &Other) {
  return std::tie(One.Waiting, One.Running, One.Slots, One.Slowdown) <
         std::tie(Other.Waiting, Other.Running, Other.Slots, Other.Slowdown);
}

std::optional<double> usableSlowdown(const engine_reading &Reading) {
  const double Stated = Reading.Slowdown.value_or(0);
  if (!(Stated > 0) || Stated > MaxStatedSlowdown)
    return std::nullopt;
  return bounded(Stated);
}

bool isOutdated(const engine_facts &Facts, const engine_reading &Reading,
                time_point At) {
  if (!Facts.Reading || At > Facts.ReadAt)
    return false;
  return At < Facts.ReadAt || !precedes(*Facts.Reading, Reading);
}

} // namespace

void noteReading(engine_facts &Facts, const engine_reading &Reading,
                 time_point At) {
  engine_reading Noted = Reading;
  Noted.Slowdown = usableSlowdown(Reading);
  if (isOutdated(Facts, Noted, At))
    return;
  const double Usual = usualSlowdown(Facts, At);
  Facts.UsualSlowdown =
      Usual + weightOfReading(Facts, At) * (Noted.Slowdown.value_or(1) - Usual);
  Facts.Reading = Noted;
  Facts.ReadAt = At;
}

void noteReadTimes(engine_facts &Facts, const read_time_samples &Samples,
                   time_point Now) {
  if (Samples.Count == 0 || !std::isfinite(Samples.RatioSum))
    return;
  const double Known = lastingFactor(Facts, Now);
  const double Seen = std::clamp(Samples.RatioSum / Samples.Count,
                                 Known / MaxStep, Known * MaxStep);
  const double Weight = weightOfPrompts(Facts, Samples.Count, Now);
  Facts.TimeFactor = bounded(Known + Weight * (Seen - Known));
  Facts.TimeFactorAt = std::max(Facts.TimeFactorAt.value_or(Now), Now);
}

double expectedTimeFactor(const engine_facts &Facts, nanoseconds Duration,
                          time_point Now) {
  const double Lasting = lastingFactor(Facts, Now);
  if (!Facts.Reading || !Facts.Reading->Slowdown)
    return bounded(Lasting);
  const double Excess =
      bounded(*Facts.Reading->Slowdown) / usualSlowdown(Facts, Now) - 1;
  const double Weight = weightOfSlowdown(Now - Facts.ReadAt, Duration);
  return bounded(Lasting * (1 + Weight * Excess));
}

std::uint32_t waitingRequests(const engine_facts &Facts, time_point Now) {
  if (!Facts.Reading || Now - Facts.ReadAt > WaitingValidity)
    return 0;
  return std::min(Facts.Reading->Waiting, MaxWaiting);
}

} // namespace spindle
