#ifndef PARSLEYSPINDLE_LIBLIMITS_PEER_CHOICE_H
#define PARSLEYSPINDLE_LIBLIMITS_PEER_CHOICE_H

#include "LibCore/runtime_clock.h"

#include <cstddef>
#include <random>
#include <span>
#include <vector>

namespace spindle {

/// What a host remembers of asking a peer for a loan.
struct lender_hint {
  /// The part of the wish that was granted last, in 0..1.
  double Granted = 1;
  /// The peer is not asked again before this.
  time_point AskAgainAt;
  milliseconds Backoff{0};
};

/// A peer that might lend.
struct lender {
  bool SameZone = false;
  lender_hint Hint;
};

/// Chooses whom to ask, and in which order: at most \p Limit peers, those of
/// the own zone first, among equals at random in proportion to what they
/// granted last. \returns indices into \p Lenders. Thread-safe.
std::vector<std::size_t> chooseLenders(std::span<const lender> Lenders,
                                       std::size_t Limit, time_point Now,
                                       std::mt19937_64 &Random);
/// Notes that a peer granted the part \p Granted, in 0..1, of a wish. One that
/// had nothing is asked again only after a pause that doubles each time.
void noteGranted(lender_hint &Hint, double Granted, time_point Now);
/// Notes that a peer did not answer.
void noteSilent(lender_hint &Hint, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_PEER_CHOICE_H
