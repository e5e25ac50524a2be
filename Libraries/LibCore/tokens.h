#ifndef PARSLEYSPINDLE_LIBCORE_TOKENS_H
#define PARSLEYSPINDLE_LIBCORE_TOKENS_H

#include <compare>
#include <cstdint>

namespace spindle {

/// A count of model tokens, the unit of a customer's rate and burst.
struct tokens {
  std::int64_t Count = 0;

  auto operator<=>(const tokens &) const = default;
  tokens operator+(tokens Other) const { return {Count + Other.Count}; }
  tokens operator-(tokens Other) const { return {Count - Other.Count}; }
  tokens &operator+=(tokens Other) {
    Count += Other.Count;
    return *this;
  }
  tokens &operator-=(tokens Other) {
    Count -= Other.Count;
    return *this;
  }
};

/// A rate in tokens per second.
struct token_rate {
  double PerSecond = 0;
  auto operator<=>(const token_rate &) const = default;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_TOKENS_H
