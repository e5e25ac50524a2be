#include "LibLimits/micro_tokens.h"

#include <algorithm>

namespace spindle {

__extension__ using wide_integer = __int128;

static constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
static constexpr nanoseconds MaxAccrualTime = std::chrono::hours(24);

static std::int64_t multiplyDivide(std::int64_t Value, std::int64_t Factor,
                                   std::int64_t Divisor) {
  const wide_integer Product = static_cast<wide_integer>(Value) * Factor;
  const wide_integer Largest = MaxTokenCount * MicrosPerToken;
  return static_cast<std::int64_t>(std::min(Product / Divisor, Largest));
}

micro_tokens toMicro(tokens Tokens) {
  return {std::min(Tokens.Count, MaxTokenCount) * MicrosPerToken};
}

micro_rate toMicro(token_rate Rate) {
  const double Largest = static_cast<double>(MaxTokenCount);
  const double PerSecond = std::clamp(Rate.PerSecond, 0.0, Largest);
  return {static_cast<std::int64_t>(PerSecond * MicrosPerToken)};
}

tokens toTokens(micro_tokens Amount) { return {Amount.Count / MicrosPerToken}; }

micro_tokens accruedTokens(micro_rate Rate, nanoseconds Duration) {
  return {
      multiplyDivide(Rate.PerSecond, Duration.count(), NanosecondsPerSecond)};
}

nanoseconds timeToAccrue(micro_rate Rate, micro_tokens Amount) {
  if (Amount.Count <= 0)
    return nanoseconds(0);
  if (Rate.PerSecond <= 0)
    return MaxAccrualTime;
  const double Exact = static_cast<double>(Amount.Count) /
                       static_cast<double>(Rate.PerSecond) *
                       NanosecondsPerSecond;
  const double Longest = static_cast<double>(MaxAccrualTime.count());
  return nanoseconds(static_cast<std::int64_t>(std::min(Exact, Longest)) + 1);
}

micro_tokens partOf(micro_tokens Whole, std::int64_t PartsPerMillion) {
  return {multiplyDivide(Whole.Count, PartsPerMillion, PartsOfWhole)};
}

micro_rate partOf(micro_rate Whole, std::int64_t PartsPerMillion) {
  return {multiplyDivide(Whole.PerSecond, PartsPerMillion, PartsOfWhole)};
}

} // namespace spindle
