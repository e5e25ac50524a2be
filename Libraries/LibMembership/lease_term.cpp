#include "LibMembership/lease_term.h"

#include <algorithm>

namespace spindle {

void lease_term::startNextTerm() {
  ++Number;
  Active = false;
  FirstSent.reset();
}

void lease_term::checkExpiry(time_point Now) {
  if (Active && Now >= ValidUntil)
    startNextTerm();
  // The first renewal may have taken effect without a response, and other hosts
  // may have seen it expire.
  if (!Active && FirstSent && Now >= *FirstSent + Duration)
    startNextTerm();
}

std::uint64_t lease_term::termAt(time_point Now) {
  checkExpiry(Now);
  return Number;
}

void lease_term::noteRenewalSent(time_point Now) {
  if (!Active && !FirstSent)
    FirstSent = Now;
}

void lease_term::confirm(std::uint64_t Confirmed, time_point SentAt,
                         time_point Now) {
  checkExpiry(Now);
  if (Confirmed != Number)
    return;
  if (SentAt + Duration <= Now)
    return;
  Active = true;
  ValidUntil = std::max(ValidUntil, SentAt + Duration);
}

void lease_term::end() {
  if (Active)
    startNextTerm();
}

} // namespace spindle
