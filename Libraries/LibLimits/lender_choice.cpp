#include "LibLimits/lender_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindle {

static constexpr double MinWeight = 0.05;
static constexpr milliseconds MinBackoff{10};
static constexpr milliseconds MaxBackoff{200};
static constexpr milliseconds FailedCallBackoff{1'000};

std::vector<std::size_t> chooseLenders(std::span<const lender> Lenders,
                                       std::size_t Limit, time_point Now,
                                       std::mt19937_64 &Random) {
  // Weighted sampling without replacement: each peer gets the key
  // -log(1 - u) / weight, u uniform in [0, 1), and the smallest keys win.
  std::vector<std::pair<double, std::size_t>> Keys;
  std::uniform_real_distribution<double> Uniform(0.0, 1.0);
  constexpr double OtherZonePenalty = 1e9;
  for (std::size_t Index = 0; Index < Lenders.size(); ++Index) {
    const lender &Lender = Lenders[Index];
    if (Now < Lender.Hint.NextRequestAt)
      continue;
    const double Weight = std::max(Lender.Hint.Granted, MinWeight);
    const double Key = -std::log1p(-Uniform(Random)) / Weight;
    Keys.emplace_back(Lender.SameZone ? Key : Key + OtherZonePenalty, Index);
  }
  const std::size_t Count = std::min(Limit, Keys.size());
  std::partial_sort(Keys.begin(),
                    Keys.begin() + static_cast<std::ptrdiff_t>(Count),
                    Keys.end());
  std::vector<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Chosen.push_back(Keys[Index].second);
  return Chosen;
}

void noteGranted(lender_hint &Hint, double Granted, time_point Now) {
  Hint.Granted = Granted;
  if (Granted > 0) {
    Hint.Backoff = milliseconds(0);
    return;
  }
  Hint.Backoff = std::clamp(2 * Hint.Backoff, MinBackoff, MaxBackoff);
  Hint.NextRequestAt = Now + Hint.Backoff;
}

void noteCallFailed(lender_hint &Hint, time_point Now) {
  Hint.Granted = 0;
  Hint.NextRequestAt = Now + FailedCallBackoff;
}

} // namespace spindle
