#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>

namespace spindle {

/// What the holder of a lease knows of it. A term is a chain of renewals,
/// each confirmed before the one before it ran out; once the chain breaks,
/// the holder has nothing until it is confirmed under a new term.
///
/// Not thread-safe.
class lease_term {
public:
  explicit lease_term(milliseconds Duration) : Duration(Duration) {}

  /// The term that a renewal sent at \p Now belongs to.
  std::uint64_t numberFor(time_point Now);
  /// Notes that a renewal under the current term leaves at \p Now.
  void noteSent(time_point Now);
  /// Notes at \p Now that the renewal of term \p Number, sent at \p SentAt,
  /// took effect.
  void confirm(std::uint64_t Number, time_point SentAt, time_point Now);
  /// Whether the lease holds at \p Now.
  bool holds(time_point Now) const { return Active && Now < ValidUntil; }
  /// Until when the lease holds; long past if it doesn't.
  time_point validUntil() const { return ValidUntil; }
  /// The current term, which has been confirmed only if holds().
  std::uint64_t number() const { return Number; }
  /// Gives the lease up.
  void end();

private:
  void startNextTerm();
  void checkLapse(time_point Now);

  milliseconds Duration;
  std::uint64_t Number = 1;
  bool Active = false;
  time_point ValidUntil{};
  /// When the first renewal of a term that isn't confirmed yet was sent.
  std::optional<time_point> FirstSent;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_TERM_H
