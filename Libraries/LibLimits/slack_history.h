#ifndef PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H
#define PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H

#include "LibLimits/micro_tokens.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// The least slack (capacity minus level) of a bucket since each past charge.
///
/// Settling a reservation credits the part that it did not use. Had only the
/// used part been charged in the first place, the bucket's level would since
/// have been higher by the unused part, but never above its capacity.
/// Therefore the credit is limited to what had room at every time since the
/// charge: the least slack since then.
struct slack_history {
  struct sample {
    std::uint64_t Sequence = 0;
    micro_tokens Slack;
  };
  /// In ascending order of both sequence and slack.
  std::vector<sample> Samples;
  std::uint64_t NextSequence = 1;
};

/// Records \p Slack, which is about to grow. \returns the sequence number of
/// the sample.
std::uint64_t noteSlack(slack_history &History, micro_tokens Slack);
/// The least slack after the sample \p Sequence; \p Current is the slack now.
micro_tokens leastSlackSince(const slack_history &History,
                             std::uint64_t Sequence, micro_tokens Current);
/// Rewrites the history after \p Sequence as if the level had been higher by
/// \p Credit. Precondition: \p Credit is at most leastSlackSince().
void creditSince(slack_history &History, std::uint64_t Sequence,
                 micro_tokens Credit);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_SLACK_HISTORY_H
