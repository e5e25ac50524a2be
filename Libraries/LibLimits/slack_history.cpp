#include "LibLimits/slack_history.h"

#include <algorithm>
#include <cstddef>

namespace spindle {

using mark = slack_history::mark;

/// Beyond this number samples are merged, which can only lower a later credit.
static constexpr std::size_t LargestMarkCount = 64;

/// Removes samples that are followed by one with at most their slack.
static void restoreOrder(std::vector<mark> &Marks) {
  std::vector<mark>::iterator Kept = Marks.end();
  for (auto Next = Marks.end(); Next != Marks.begin();) {
    --Next;
    if (Kept == Marks.end() || Next->Slack < Kept->Slack)
      *--Kept = *Next;
  }
  Marks.erase(Marks.begin(), Kept);
}

std::uint64_t noteSlack(slack_history &History, micro_tokens Slack) {
  std::vector<mark> &Marks = History.Marks;
  while (!Marks.empty() && Marks.back().Slack >= Slack)
    Marks.pop_back();
  Marks.push_back({History.NextSequence, Slack});
  if (Marks.size() > LargestMarkCount) {
    Marks[1].Slack = Marks[0].Slack;
    Marks.erase(Marks.begin());
  }
  return History.NextSequence++;
}

micro_tokens leastSlackSince(const slack_history &History,
                             std::uint64_t Sequence, micro_tokens Current) {
  for (const mark &Mark : History.Marks)
    if (Mark.Sequence > Sequence)
      return std::min(Mark.Slack, Current);
  return Current;
}

void creditSince(slack_history &History, std::uint64_t Sequence,
                 micro_tokens Credit) {
  for (mark &Mark : History.Marks)
    if (Mark.Sequence > Sequence)
      Mark.Slack -= Credit;
  restoreOrder(History.Marks);
}

} // namespace spindle
