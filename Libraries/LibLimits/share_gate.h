#ifndef PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H
#define PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// Limits how much of the base share assigned to this host may be used.
///
/// A share grows by a part taken from another holder, possibly an earlier
/// incarnation of this host, whose loans may still be in use. Growth is
/// therefore delayed until every loan that the previous holder can have granted
/// has ended; a reduction takes effect at once.
struct share_gate {
  struct change {
    time_point Since;
    std::int64_t PartsPerMillion = 0;
  };
  /// Changes of the assigned share, oldest first.
  std::vector<change> Changes;
  time_point ValidUntil;
};

/// Records an assignment. A share that had expired grows again from zero.
void assignShare(share_gate &Gate, std::int64_t PartsPerMillion,
                 time_point ValidUntil, time_point Now);
/// The parts per million that may be used: the minimum assigned at any time in
/// the last \p GrowthDelay. Call with ascending \p Now.
std::int64_t usableParts(share_gate &Gate, nanoseconds GrowthDelay,
                         time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_SHARE_GATE_H
