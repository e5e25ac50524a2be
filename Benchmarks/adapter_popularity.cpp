#include "adapter_popularity.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace spindle {

adapter_popularity::adapter_popularity(const placement_load &Load,
                                       std::mt19937_64 &Random)
    : Load(Load), Random(Random), AdapterOfRank(Load.Adapters) {
  double Sum = 0;
  for (std::size_t Rank = 1; Rank <= Load.Adapters; ++Rank) {
    Sum += std::pow(static_cast<double>(Rank), -Load.ZipfExponent);
    Cumulative.push_back(Sum);
  }
  std::iota(AdapterOfRank.begin(), AdapterOfRank.end(), 0);
  std::ranges::shuffle(AdapterOfRank, Random);
}

adapter_id adapter_popularity::adapterAt(std::size_t Rank) const {
  // An odd factor, which spreads the ids over the range of hashes.
  return {(AdapterOfRank[Rank] + 1) * 0x9e3779b97f4a7c15};
}

double adapter_popularity::shareOf(std::size_t Rank) const {
  return std::pow(static_cast<double>(Rank + 1), -Load.ZipfExponent) /
         Cumulative.back();
}

adapter_id adapter_popularity::draw() {
  std::uniform_real_distribution<double> Uniform(0, Cumulative.back());
  const auto Found = std::ranges::lower_bound(Cumulative, Uniform(Random));
  const std::size_t Rank =
      static_cast<std::size_t>(std::distance(Cumulative.begin(), Found));
  return adapterAt(std::min<std::size_t>(Rank, Load.Adapters - 1));
}

void adapter_popularity::exchangeRanks() {
  const std::size_t Left = Random() % Load.Adapters;
  const std::size_t Right = Random() % Load.Adapters;
  std::swap(AdapterOfRank[Left], AdapterOfRank[Right]);
}

} // namespace spindle
