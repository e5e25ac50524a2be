#include "limit_timeline.h"

#include <algorithm>
#include <utility>

namespace spindle {

static constexpr milliseconds MaintainInterval{100};
/// How long membership takes to assign a lost host's share to others.
static constexpr milliseconds ReassignAfter{20'000};

limit_timeline::limit_timeline(const limit_scenario &Scenario,
                               runtime_clock &Clock, escrow_fleet &Fleet,
                               std::vector<limit_contender> &Contenders)
    : Scenario(Scenario), Clock(Clock), Fleet(Fleet), Contenders(Contenders),
      Start(Clock.now()), NextMaintain(Start) {}

void limit_timeline::settleLater(time_point At, std::size_t Id, tokens Used) {
  Settlements.push({At, Id, Used.Count});
}

void limit_timeline::retryLater(time_point At, std::function<void()> Retry) {
  Retries.emplace_back(At, std::move(Retry));
}

void limit_timeline::runUntil(time_point Until) {
  while (true) {
    const time_point NextSettle = Settlements.empty()
                                      ? time_point::max()
                                      : std::get<0>(Settlements.top());
    const time_point NextRetry =
        Retries.empty() ? time_point::max() : Retries.front().first;
    const time_point Next = std::min({NextMaintain, NextSettle, NextRetry});
    if (Next > Until)
      break;
    Clock.advance(Next - Clock.now());
    if (Next == NextSettle)
      settle();
    else if (Next == NextRetry)
      retry();
    else
      maintain();
  }
  Clock.advance(Until - Clock.now());
}

void limit_timeline::retry() {
  const std::function<void()> Retry = std::move(Retries.front().second);
  Retries.pop_front();
  Retry();
}

void limit_timeline::settle() {
  const auto [At, Id, Used] = Settlements.top();
  Settlements.pop();
  for (const limit_contender &Contender : Contenders)
    Contender.Settle(Id, {Used});
}

void limit_timeline::maintain() {
  const std::chrono::duration<double> Passed = Clock.now() - Start - WarmUp;
  const std::chrono::duration<double> Reassign = ReassignAfter;
  if (Passed.count() >= Scenario.HostLostAt)
    Fleet.loseHost(0);
  if (Passed.count() >= Scenario.HostLostAt + Reassign.count() &&
      !std::exchange(Reassigned, true))
    Fleet.reassignLost();
  if (Passed.count() >= Scenario.ZoneCutAt)
    Fleet.cutZone(Zones.back());
  Fleet.maintain();
  NextMaintain += MaintainInterval;
}

} // namespace spindle
