#include "LibScheduling/cost_model.h"

#include "LibCore/strong_id.h"

#include <algorithm>
#include <cmath>

namespace spindle {

namespace {

constexpr std::int64_t DefaultOutputTokens = 256;
/// Most requests stay far below their limit.
constexpr std::int64_t UnlearnedLimitPart = 4;
/// Bounds the numbers that callers state.
constexpr std::int64_t MaxTokens = 1LL << 30U;
/// The variance, in square octaves, of a hint or of a service of which nothing
/// is known: a factor of two.
constexpr double PriorVariance = 1;
/// The weight of the more general variance, in values of a history.
constexpr double PriorValues = 4;
/// The least variance of a history, in square octaves.
constexpr double MinVariance = 0.01;
/// The variance of the median of n normal values, as a multiple of their
/// variance divided by n.
constexpr double MedianVariancePart = 1.57;
/// The ninth decile of the standard normal distribution.
constexpr double NormalHigh = 1.28;
/// With fewer errors the high quantile follows from the variance.
constexpr std::size_t MinErrors = 8;
/// What a request that exceeds its high quantile is expected to have left, as a
/// part of its output so far.
constexpr std::int64_t RemainderPart = 4;

/// The logarithm of an output with the variance of its error.
struct log_estimate {
  double Center = 0;
  /// That of the requests with the same key around Center.
  double KeyVariance = PriorVariance;
  /// The sum of KeyVariance and the variance of Center.
  double Variance = PriorVariance;
};

double logOf(std::int64_t Tokens) {
  return std::log2(
      static_cast<double>(std::clamp<std::int64_t>(Tokens, 1, MaxTokens)));
}

std::uint64_t mix(std::uint64_t Seed, std::string_view Name) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15;
  constexpr unsigned Shift = 29;
  std::uint64_t Value = (Seed ^ hashName(Name)) * Multiplier;
  Value ^= Value >> Shift;
  Value *= Multiplier;
  Value ^= Value >> Shift;
  return std::max<std::uint64_t>(Value, 1);
}

/// The keys of the histories that a request belongs to.
struct history_keys {
  std::uint64_t Service = 0;
  std::uint64_t Route = 0;
  std::uint64_t Customer = 0;
  /// 0 if the request names no adapter.
  std::uint64_t Adapter = 0;
};

history_keys keysOf(const cost_features &Features) {
  history_keys Keys;
  Keys.Service = mix(0, Features.Service);
  Keys.Route = mix(Keys.Service, Features.Route);
  Keys.Customer = mix(Keys.Route, Features.Customer);
  if (!Features.Adapter.empty())
    Keys.Adapter = mix(Keys.Route, Features.Adapter);
  return Keys;
}

cost_summary summaryOf(std::span<const cost_history> Cells, std::uint64_t Key,
                       time_point Now) {
  const cost_history *const History = findHistory(Cells, Key);
  return History ? summarize(*History, Now) : cost_summary{};
}

/// Takes the variance for that of a more general key as long as there are few
/// values.
double learnedVariance(std::size_t Values, double Variance,
                       double GeneralVariance) {
  const double Count = static_cast<double>(Values);
  const double Mean = (Count * Variance + PriorValues * GeneralVariance) /
                      (Count + PriorValues);
  return std::max(MinVariance, Mean);
}

log_estimate estimateOf(const cost_summary &Summary, double GeneralVariance) {
  const double Count =
      static_cast<double>(std::max<std::size_t>(Summary.Count, 1));
  log_estimate Estimate;
  Estimate.Center = Summary.Median;
  Estimate.KeyVariance =
      learnedVariance(Summary.Count, Summary.Variance, GeneralVariance);
  Estimate.Variance = Estimate.KeyVariance * (1 + MedianVariancePart / Count);
  return Estimate;
}

/// Takes the more special key of two if its requests differ less.
void useIfCloser(std::optional<log_estimate> &Best, const cost_summary &Summary,
                 double GeneralVariance) {
  if (Summary.Count == 0)
    return;
  const log_estimate Special = estimateOf(Summary, GeneralVariance);
  if (!Best || Special.Variance < Best->Variance)
    Best = Special;
}

/// The estimate from earlier outputs; none if there are none.
std::optional<log_estimate> historyEstimate(const cost_model &Model,
                                            const history_keys &Keys,
                                            time_point Now) {
  std::optional<log_estimate> Best;
  useIfCloser(Best, summaryOf(Model.Services, Keys.Service, Now),
              PriorVariance);
  const cost_summary Route = summaryOf(Model.Routes, Keys.Route, Now);
  useIfCloser(Best, Route, Best ? Best->KeyVariance : PriorVariance);
  const double RouteVariance = Best ? Best->KeyVariance : PriorVariance;
  useIfCloser(Best, summaryOf(Model.Customers, Keys.Customer, Now),
              RouteVariance);
  if (Keys.Adapter != 0)
    useIfCloser(Best, summaryOf(Model.Adapters, Keys.Adapter, Now),
                RouteVariance);
  return Best;
}

bool hasHint(const cost_features &Features) {
  return Features.OutputHint && *Features.OutputHint > 0;
}

/// The estimate by a hint, corrected by the earlier hints of its customer,
/// which may be exact in most cases and far off in the others.
struct hint_estimate {
  double Center = 0;
  double CoreVariance = PriorVariance;
  double Variance = PriorVariance;
};

hint_estimate hintEstimate(const cost_model &Model,
                           const cost_features &Features,
                           const history_keys &Keys, time_point Now) {
  const cost_summary Ratios = summaryOf(Model.Hints, Keys.Customer, Now);
  hint_estimate Hint;
  Hint.Center = logOf(*Features.OutputHint) + Ratios.Median;
  Hint.CoreVariance =
      learnedVariance(Ratios.Count, Ratios.CoreVariance, PriorVariance);
  Hint.Variance =
      std::max(Hint.CoreVariance,
               learnedVariance(Ratios.Count, Ratios.Variance, PriorVariance));
  return Hint;
}

double normalDensity(double Distance, double Variance) {
  return std::exp(-Distance * Distance / (2 * Variance)) / std::sqrt(Variance);
}

/// The chance that a hint is no outlier, by its distance from the history.
double exactChance(const log_estimate &History, const hint_estimate &Hint) {
  const double Distance = Hint.Center - History.Center;
  const double Exact =
      normalDensity(Distance, History.Variance + Hint.CoreVariance);
  const double Any = normalDensity(Distance, History.Variance + Hint.Variance);
  // Far from the history both vanish.
  return Any > 0 ? Exact / (Exact + Any) : 0;
}

/// Moves an estimate toward the hint by how exact that is.
log_estimate combine(const log_estimate &History, const hint_estimate &Hint) {
  const double HintPart = exactChance(History, Hint) * History.Variance /
                          (History.Variance + Hint.CoreVariance);
  log_estimate Result = History;
  Result.Center += (Hint.Center - History.Center) * HintPart;
  Result.Variance *= 1 - HintPart;
  return Result;
}

log_estimate unlearnedEstimate(const cost_features &Features) {
  log_estimate Estimate;
  Estimate.Center = logOf(Features.MaxOutputTokens > 0
                              ? Features.MaxOutputTokens / UnlearnedLimitPart
                              : DefaultOutputTokens);
  return Estimate;
}

log_estimate estimateOutput(const cost_model &Model,
                            const cost_features &Features,
                            const history_keys &Keys, time_point Now) {
  const std::optional<log_estimate> History = historyEstimate(Model, Keys, Now);
  if (!hasHint(Features))
    return History ? *History : unlearnedEstimate(Features);
  const hint_estimate Hint = hintEstimate(Model, Features, Keys, Now);
  if (History)
    return combine(*History, Hint);
  return {Hint.Center, Hint.Variance, Hint.Variance};
}

std::int64_t tokensOf(double Logarithm, std::int64_t Limit) {
  const double MaxLogarithm = logOf(Limit > 0 ? Limit : MaxTokens);
  const double Bounded = std::clamp(Logarithm, 0.0, MaxLogarithm);
  return std::llround(std::exp2(Bounded));
}

void noteIn(std::span<cost_history> Cells, std::uint64_t Key, double Value,
            time_point Now) {
  if (cost_history *const History = claimHistory(Cells, Key, Now))
    noteValue(*History, Value, Now);
}

} // namespace

request_cost estimateCost(const cost_model &Model,
                          const cost_features &Features, time_point Now) {
  const history_keys Keys = keysOf(Features);
  const log_estimate Output = estimateOutput(Model, Features, Keys, Now);
  const cost_summary Errors = summaryOf(Model.Errors, Keys.Customer, Now);
  const double Margin = Errors.Count < MinErrors
                            ? NormalHigh * std::sqrt(Output.Variance)
                            : std::max(Errors.High, 0.0);
  request_cost Cost;
  Cost.PromptTokens = std::max<std::int64_t>(Features.PromptTokens, 0);
  Cost.OutputTokens = tokensOf(Output.Center, Features.MaxOutputTokens);
  Cost.HighOutputTokens =
      tokensOf(Output.Center + Margin, Features.MaxOutputTokens);
  return Cost;
}

void noteOutput(cost_model &Model, const cost_features &Features,
                std::int64_t OutputTokens, time_point Now) {
  const history_keys Keys = keysOf(Features);
  const double Output = logOf(OutputTokens);
  const log_estimate Estimate = estimateOutput(Model, Features, Keys, Now);
  noteIn(Model.Errors, Keys.Customer, Output - Estimate.Center, Now);
  if (hasHint(Features))
    noteIn(Model.Hints, Keys.Customer, Output - logOf(*Features.OutputHint),
           Now);
  noteIn(Model.Services, Keys.Service, Output, Now);
  noteIn(Model.Routes, Keys.Route, Output, Now);
  noteIn(Model.Customers, Keys.Customer, Output, Now);
  if (Keys.Adapter != 0)
    noteIn(Model.Adapters, Keys.Adapter, Output, Now);
}

std::int64_t remainingOutput(const request_cost &Cost, std::int64_t OutputSoFar,
                             std::int64_t MaxOutputTokens) {
  // The longer a request has run, the likelier it is a long one.
  const std::int64_t Grown =
      std::min(OutputSoFar, Cost.HighOutputTokens - OutputSoFar) / 2;
  std::int64_t Remaining = std::max(Cost.OutputTokens - OutputSoFar, Grown);
  if (OutputSoFar >= Cost.HighOutputTokens)
    Remaining = OutputSoFar / RemainderPart;
  Remaining = std::max<std::int64_t>(Remaining, 1);
  if (MaxOutputTokens <= 0)
    return Remaining;
  return std::min(Remaining,
                  std::max<std::int64_t>(MaxOutputTokens - OutputSoFar, 0));
}

std::optional<milliseconds> plainMilliseconds(const cost_model &Model,
                                              const cost_features &Features,
                                              time_point Now) {
  const history_keys Keys = keysOf(Features);
  std::optional<log_estimate> Best;
  useIfCloser(Best, summaryOf(Model.PlainRoutes, Keys.Route, Now),
              PriorVariance);
  useIfCloser(Best, summaryOf(Model.PlainCustomers, Keys.Customer, Now),
              Best ? Best->KeyVariance : PriorVariance);
  if (!Best)
    return std::nullopt;
  const std::chrono::duration<double, std::micro> Time(std::exp2(Best->Center));
  return std::chrono::round<milliseconds>(Time);
}

void notePlain(cost_model &Model, const cost_features &Features,
               nanoseconds Taken, time_point Now) {
  const history_keys Keys = keysOf(Features);
  const std::int64_t Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(Taken).count();
  const double Value = logOf(Microseconds);
  noteIn(Model.PlainRoutes, Keys.Route, Value, Now);
  noteIn(Model.PlainCustomers, Keys.Customer, Value, Now);
}

} // namespace spindle
