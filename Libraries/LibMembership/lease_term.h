#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>

namespace spindle {

/// A lease as seen by its holder. A term is a series of renewals, each
/// confirmed before the previous one expired. If one is not, the holder does
/// not hold the lease until a renewal under a new term is confirmed.
///
/// Not thread-safe.
class lease_term {
public:
  explicit lease_term(milliseconds Duration) : Duration(Duration) {}

  /// Returns the term to which a renewal sent at \p Now belongs.
  std::uint64_t termAt(time_point Now);
  /// Records that a renewal under the current term is sent at \p Now.
  void noteRenewalSent(time_point Now);
  /// Records at \p Now that the renewal under term \p Number, sent at
  /// \p SentAt, took effect.
  void confirm(std::uint64_t Number, time_point SentAt, time_point Now);
  /// Whether the lease holds at \p Now.
  bool holds(time_point Now) const { return Active && Now < ValidUntil; }
  /// When the lease expires or has expired.
  time_point validUntil() const { return ValidUntil; }
  /// The current term; it is confirmed only if holds().
  std::uint64_t number() const { return Number; }
  /// Gives up the lease: starts a new term, which is not confirmed.
  void end();

private:
  void startNextTerm();
  void checkExpiry(time_point Now);

  milliseconds Duration;
  std::uint64_t Number = 1;
  bool Active = false;
  time_point ValidUntil{};
  /// When the first renewal of an unconfirmed term was sent.
  std::optional<time_point> FirstSent;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H
