#ifndef PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H
#define PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H

#include "LibLimits/micro_tokens.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// How close to its capacity a bucket has been since each past moment.
///
/// A reservation is settled by giving back what it did not use. Had only the
/// used part been charged at first, the bucket would since have stood higher
/// by the unused part, but never above its capacity. So only as much is given
/// back as had room at every moment since the charge: the least slack
/// (capacity less level) since then.
struct slack_history {
  struct mark {
    std::uint64_t Sequence = 0;
    micro_tokens Slack;
  };
  /// In ascending order of both sequence and slack.
  std::vector<mark> Marks;
  std::uint64_t NextSequence = 1;
};

/// Records \p Slack, which is about to grow, and returns the mark's sequence.
std::uint64_t noteSlack(slack_history &History, micro_tokens Slack);
/// The least slack after the mark \p Sequence; \p Current is the slack now.
micro_tokens leastSlackSince(const slack_history &History,
                             std::uint64_t Sequence, micro_tokens Current);
/// Rewrites the history after \p Sequence as if the bucket had stood higher by
/// \p Credit. Precondition: \p Credit is at most leastSlackSince().
void creditSince(slack_history &History, std::uint64_t Sequence,
                 micro_tokens Credit);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H
