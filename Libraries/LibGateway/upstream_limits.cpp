#include "LibGateway/upstream_limits.h"

#include <algorithm>

namespace spindle {

// Peers state the age of a limit without the time that their message took, so
// an unchanged limit is only replaced by one that is certainly newer.
static constexpr milliseconds RefreshInterval{1'000};
// The end of a limit is reported for this long, so that all hosts learn of it.
static constexpr milliseconds EndReportTime{10'000};

bool noteStatement(upstream_limits &Limits, const upstream_entry &Upstream,
                   const upstream_statement &Statement, time_point SentAt,
                   time_point Now) {
  if (Statement.RequestsPerSecond)
    return mergeLimit(Limits, Upstream,
                      {Upstream.StartedAt, Statement.RequestsPerSecond, Now});
  const auto Known = Limits.Limits.find(Upstream.Id);
  if (Statement.IsMalformed || Known == Limits.Limits.end())
    return false;
  // A response may have been written before the limit was stated.
  if (SentAt <= Known->second.StatedAt)
    return false;
  return mergeLimit(Limits, Upstream, {Upstream.StartedAt, std::nullopt, Now});
}

bool mergeLimit(upstream_limits &Limits, const upstream_entry &Upstream,
                const upstream_limit &Reported) {
  if (Reported.StartedAt != Upstream.StartedAt)
    return false;
  const auto Known = Limits.Limits.find(Upstream.Id);
  const bool IsKnown = Known != Limits.Limits.end();
  if (IsKnown && Known->second.StatedAt >= Reported.StatedAt)
    return false;
  const std::optional<double> Before =
      IsKnown ? Known->second.RequestsPerSecond : std::nullopt;
  const bool IsSame = Before == Reported.RequestsPerSecond;
  if (IsKnown && IsSame &&
      Reported.StatedAt - Known->second.StatedAt < RefreshInterval)
    return false;
  Limits.Limits[Upstream.Id] = Reported;
  return !IsSame;
}

void noteStart(upstream_limits &Limits, const upstream_entry &Upstream) {
  const auto Known = Limits.Limits.find(Upstream.Id);
  if (Known != Limits.Limits.end() &&
      Known->second.StartedAt != Upstream.StartedAt)
    Limits.Limits.erase(Known);
}

std::optional<double> limitOf(const upstream_limits &Limits,
                              const upstream_entry &Upstream) {
  const auto Known = Limits.Limits.find(Upstream.Id);
  return Known == Limits.Limits.end() ? std::nullopt
                                      : Known->second.RequestsPerSecond;
}

std::vector<reported_limit> limitsToReport(const upstream_limits &Limits,
                                           std::size_t MaxCount,
                                           time_point Now) {
  std::vector<reported_limit> Reported;
  for (const auto &[Upstream, Limit] : Limits.Limits)
    if (Limit.RequestsPerSecond || Now - Limit.StatedAt < EndReportTime)
      Reported.push_back({Upstream, Limit});
  std::sort(Reported.begin(), Reported.end(),
            [](const reported_limit &Left, const reported_limit &Right) {
              return Left.Limit.StatedAt > Right.Limit.StatedAt;
            });
  Reported.resize(std::min(Reported.size(), MaxCount));
  return Reported;
}

} // namespace spindle
