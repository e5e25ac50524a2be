#ifndef PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H
#define PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// How much of the base share assigned to this host may be used.
///
/// What a share grows by was taken from another holder, perhaps an earlier
/// run of this very process, whose loans may still be in use. So growth is
/// held back until every loan that the former holder can have given is over;
/// a share that shrinks does so at once.
struct share_gate {
  struct step {
    time_point Since;
    std::int64_t PartsPerMillion = 0;
  };
  /// The share as assigned, in the order of the changes.
  std::vector<step> Steps;
  time_point ValidUntil;
};

/// Takes over an assignment. A share that had lapsed grows anew from nothing.
void assignShare(share_gate &Gate, std::int64_t PartsPerMillion,
                 time_point ValidUntil, time_point Now);
/// The parts of a million that may be used: the least that was assigned at any
/// moment in the last \p GrowthDelay. Call with ascending \p Now.
std::int64_t usableParts(share_gate &Gate, nanoseconds GrowthDelay,
                         time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H
