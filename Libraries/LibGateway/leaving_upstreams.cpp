#include "LibGateway/leaving_upstreams.h"

#include <algorithm>

namespace spindle {

// Longer than an upstream takes to leave.
static constexpr milliseconds MaxLeavingTime{300'000};

bool noteLeaving(leaving_upstreams &Leaving, const stated_leaving &Stated) {
  const auto Known = Leaving.Stated.find(Stated.Upstream);
  if (Known != Leaving.Stated.end() &&
      Known->second.StartedAt == Stated.StartedAt &&
      Stated.StatedAt - Known->second.StatedAt < MaxLeavingTime)
    return false;
  Leaving.Stated[Stated.Upstream] = Stated;
  return true;
}

bool isLeaving(const leaving_upstreams &Leaving, const upstream_entry &Upstream,
               time_point Now) {
  const auto Known = Leaving.Stated.find(Upstream.Id);
  return Known != Leaving.Stated.end() &&
         Known->second.StartedAt == Upstream.StartedAt &&
         Now - Known->second.StatedAt < MaxLeavingTime;
}

std::vector<stated_leaving> leavingToReport(const leaving_upstreams &Leaving,
                                            std::size_t MaxCount,
                                            time_point Now) {
  std::vector<stated_leaving> Reported;
  for (const auto &[Id, Stated] : Leaving.Stated)
    if (Now - Stated.StatedAt < MaxLeavingTime)
      Reported.push_back(Stated);
  std::sort(Reported.begin(), Reported.end(),
            [](const stated_leaving &Left, const stated_leaving &Right) {
              return Left.StatedAt > Right.StatedAt;
            });
  Reported.resize(std::min(Reported.size(), MaxCount));
  return Reported;
}

} // namespace spindle
