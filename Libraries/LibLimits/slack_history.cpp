#include "LibLimits/slack_history.h"

#include <algorithm>
#include <cstddef>

namespace spindle {

using sample = slack_history::sample;

/// Beyond this number samples are merged, which can only lower a later credit.
static constexpr std::size_t MaxSampleCount = 64;

/// Removes samples that are followed by one with at most their slack.
static void restoreOrder(std::vector<sample> &Samples) {
  std::vector<sample>::iterator Kept = Samples.end();
  for (auto Next = Samples.end(); Next != Samples.begin();) {
    --Next;
    if (Kept == Samples.end() || Next->Slack < Kept->Slack)
      *--Kept = *Next;
  }
  Samples.erase(Samples.begin(), Kept);
}

std::uint64_t noteSlack(slack_history &History, micro_tokens Slack) {
  std::vector<sample> &Samples = History.Samples;
  while (!Samples.empty() && Samples.back().Slack >= Slack)
    Samples.pop_back();
  Samples.push_back({History.NextSequence, Slack});
  if (Samples.size() > MaxSampleCount) {
    Samples[1].Slack = Samples[0].Slack;
    Samples.erase(Samples.begin());
  }
  return History.NextSequence++;
}

micro_tokens leastSlackSince(const slack_history &History,
                             std::uint64_t Sequence, micro_tokens Current) {
  for (const sample &Sample : History.Samples)
    if (Sample.Sequence > Sequence)
      return std::min(Sample.Slack, Current);
  return Current;
}

void creditSince(slack_history &History, std::uint64_t Sequence,
                 micro_tokens Credit) {
  for (sample &Sample : History.Samples)
    if (Sample.Sequence > Sequence)
      Sample.Slack -= Credit;
  restoreOrder(History.Samples);
}

} // namespace spindle
