#ifndef PARSLEYSPINDLE_BENCHMARKS_ADAPTER_POPULARITY_H
#define PARSLEYSPINDLE_BENCHMARKS_ADAPTER_POPULARITY_H

#include "placement_model.h"

#include "LibCore/strong_id.h"

#include <cstddef>
#include <random>
#include <vector>

namespace spindle {

/// How often each adapter is requested: ranks follow Zipf's law, and adapters
/// change their ranks over time. Not thread-safe.
class adapter_popularity {
public:
  /// Draws the first order of the adapters. \p Load and \p Random must outlive
  /// the object.
  adapter_popularity(const placement_load &Load, std::mt19937_64 &Random);

  /// Draws the adapter of a request.
  adapter_id draw();
  /// Exchanges the ranks of two adapters.
  void exchangeRanks();
  /// The adapter with a rank, from 0.
  adapter_id adapterAt(std::size_t Rank) const;
  /// The part of all requests that is for the adapter with a rank.
  double shareOf(std::size_t Rank) const;

private:
  const placement_load &Load;
  std::mt19937_64 &Random;
  /// The sums of the weights up to each rank.
  std::vector<double> Cumulative;
  std::vector<std::size_t> AdapterOfRank;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_ADAPTER_POPULARITY_H
