#ifndef PARSLEYSPINDLE_LIBLIMITS_LENDER_CHOICE_H
#define PARSLEYSPINDLE_LIBLIMITS_LENDER_CHOICE_H

#include "LibCore/runtime_clock.h"

#include <cstddef>
#include <random>
#include <span>
#include <vector>

namespace spindle {

/// How a peer answered this host's earlier loan requests.
struct lender_hint {
  /// The fraction of the last request that was granted, in 0..1.
  double Granted = 1;
  /// The peer is not asked again before this time.
  time_point NextRequestAt;
  milliseconds Backoff{0};
};

/// A peer that may lend.
struct lender {
  bool SameZone = false;
  lender_hint Hint;
};

/// Chooses at most \p Limit peers to ask, in order: peers of the own zone
/// first, and within each group at random, weighted by the fraction that they
/// granted last. \returns indices into \p Lenders. Thread-safe.
std::vector<std::size_t> chooseLenders(std::span<const lender> Lenders,
                                       std::size_t Limit, time_point Now,
                                       std::mt19937_64 &Random);
/// Records that a peer granted the fraction \p Granted, in 0..1, of a request.
/// A peer that granted nothing is asked again only after a backoff, which
/// doubles each time.
void noteGranted(lender_hint &Hint, double Granted, time_point Now);
/// Records that a call to a peer failed.
void noteCallFailed(lender_hint &Hint, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_LENDER_CHOICE_H
