#ifndef PARSLEYSPINDLE_BENCHMARKS_LIMIT_TIMELINE_H
#define PARSLEYSPINDLE_BENCHMARKS_LIMIT_TIMELINE_H

#include "limit_contenders.h"
#include "limit_scenario.h"

#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace spindle {

/// How long the contenders run before the requests begin.
inline constexpr milliseconds WarmUp{60'000};

/// Runs what is due on the paused clock: maintenance, faults and settlements.
class limit_timeline {
public:
  /// The arguments must outlive the object.
  limit_timeline(const limit_scenario &Scenario, runtime_clock &Clock,
                 escrow_fleet &Fleet, std::vector<limit_contender> &Contenders);

  void settleLater(time_point At, std::size_t Id, tokens Used);
  /// Calls \p Retry when the wait of a request is over. Precondition: \p At
  /// is not earlier than in the call before.
  void retryLater(time_point At, std::function<void()> Retry);
  /// Advances the clock to \p Until.
  void runUntil(time_point Until);

private:
  void retry();
  void settle();
  void maintain();

  using settlement = std::tuple<time_point, std::size_t, std::int64_t>;
  const limit_scenario &Scenario;
  runtime_clock &Clock;
  escrow_fleet &Fleet;
  std::vector<limit_contender> &Contenders;
  time_point Start;
  time_point NextMaintain;
  bool Reassigned = false;
  std::deque<std::pair<time_point, std::function<void()>>> Retries;
  std::priority_queue<settlement, std::vector<settlement>, std::greater<>>
      Settlements;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_LIMIT_TIMELINE_H
