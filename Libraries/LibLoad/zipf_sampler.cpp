#include "LibLoad/zipf_sampler.h"

#include <algorithm>
#include <cmath>

namespace spindle {

zipf_sampler::zipf_sampler(std::uint32_t Count, double Exponent) {
  double Sum = 0;
  Cumulative.reserve(Count);
  for (std::uint32_t Rank = 0; Rank < Count; ++Rank) {
    Sum += std::pow(Rank + 1.0, -Exponent);
    Cumulative.push_back(Sum);
  }
}

std::uint32_t zipf_sampler::draw(std::mt19937_64 &Random) const {
  std::uniform_real_distribution<double> Place(0, Cumulative.back());
  const auto Found =
      std::upper_bound(Cumulative.begin(), Cumulative.end(), Place(Random));
  const std::ptrdiff_t Rank = Found - Cumulative.begin();
  return static_cast<std::uint32_t>(
      std::min<std::ptrdiff_t>(Rank, std::ssize(Cumulative) - 1));
}

} // namespace spindle
