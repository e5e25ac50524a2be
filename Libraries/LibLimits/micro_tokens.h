#ifndef PARSLEYSPINDLE_LIBLIMITS_MICRO_TOKENS_H
#define PARSLEYSPINDLE_LIBLIMITS_MICRO_TOKENS_H

#include "LibCore/runtime_clock.h"
#include "LibCore/tokens.h"

#include <compare>
#include <cstdint>

namespace spindle {

/// Millionths of a token. Integers conserve lent and returned amounts exactly;
/// every division rounds in the direction that keeps the limit.
struct micro_tokens {
  std::int64_t Count = 0;

  auto operator<=>(const micro_tokens &) const = default;
  micro_tokens operator+(micro_tokens Other) const {
    return {Count + Other.Count};
  }
  micro_tokens operator-(micro_tokens Other) const {
    return {Count - Other.Count};
  }
  micro_tokens &operator+=(micro_tokens Other) {
    Count += Other.Count;
    return *this;
  }
  micro_tokens &operator-=(micro_tokens Other) {
    Count -= Other.Count;
    return *this;
  }
};

/// Millionths of a token per second.
struct micro_rate {
  std::int64_t PerSecond = 0;

  auto operator<=>(const micro_rate &) const = default;
  micro_rate operator+(micro_rate Other) const {
    return {PerSecond + Other.PerSecond};
  }
  micro_rate operator-(micro_rate Other) const {
    return {PerSecond - Other.PerSecond};
  }
  micro_rate &operator+=(micro_rate Other) {
    PerSecond += Other.PerSecond;
    return *this;
  }
  micro_rate &operator-=(micro_rate Other) {
    PerSecond -= Other.PerSecond;
    return *this;
  }
};

inline constexpr std::int64_t MicrosPerToken = 1'000'000;
/// Base shares are expressed in parts of this.
inline constexpr std::int64_t PartsOfWhole = 1'000'000;
/// Token counts are clamped to this, so that sums of many do not overflow.
inline constexpr std::int64_t MaxTokenCount = 1'000'000'000'000;

/// Exact, up to MaxTokenCount. Thread-safe.
micro_tokens toMicro(tokens Tokens);
/// Rounded down. Thread-safe.
micro_rate toMicro(token_rate Rate);
/// Rounded down. Thread-safe.
tokens toTokens(micro_tokens Amount);
/// The tokens that accrue at \p Rate in \p Duration, rounded down.
/// Precondition: \p Duration is not negative. Thread-safe.
micro_tokens accruedTokens(micro_rate Rate, nanoseconds Duration);
/// How long \p Amount takes to accrue at \p Rate, rounded up; at most one day.
/// Thread-safe.
nanoseconds timeToAccrue(micro_rate Rate, micro_tokens Amount);
/// \p PartsPerMillion of a value, rounded down. Thread-safe.
micro_tokens partOf(micro_tokens Whole, std::int64_t PartsPerMillion);
micro_rate partOf(micro_rate Whole, std::int64_t PartsPerMillion);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_MICRO_TOKENS_H
