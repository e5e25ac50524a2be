#include "LibGateway/upstream_choice.h"

#include <algorithm>

namespace spindle {

// Keeps apart idle upstreams of unlike health.
static constexpr double LeastMilliseconds = 1;

static double loadMilliseconds(const upstream_candidate &Candidate,
                               const choice_costs &Costs) {
  switch (Candidate.Adapter) {
  case adapter_presence::NotNeeded:
  case adapter_presence::Loaded:
    return 0;
  case adapter_presence::Loading:
    return Costs.HomeLoadMilliseconds / 2;
  case adapter_presence::Absent:
    return Candidate.IsAdapterHome ? Costs.HomeLoadMilliseconds
                                   : Costs.LoadMilliseconds;
  }
  return 0;
}

static double plainMilliseconds(const upstream_candidate &Candidate,
                                const choice_request &Request) {
  const std::uint32_t Slots = std::max(1U, Candidate.Slots);
  const double Ahead = static_cast<double>(Candidate.Requests) / Slots;
  return Request.PlainMilliseconds * (1 + Ahead);
}

double expectedMilliseconds(const upstream_candidate &Candidate,
                            const choice_request &Request,
                            const choice_costs &Costs) {
  const double Zone = Candidate.InOwnZone ? 0 : Costs.OtherZoneMilliseconds;
  if (Request.PromptTokens == 0)
    return plainMilliseconds(Candidate, Request) + Zone;
  const std::int64_t ToRead =
      Candidate.UnreadTokens +
      std::max<std::int64_t>(0, Request.PromptTokens - Candidate.CachedTokens);
  const double Reading =
      static_cast<double>(ToRead) / Costs.ReadTokensPerMillisecond;
  const double Running = Candidate.Requests * Costs.PerRequestMilliseconds;
  return Reading + Running + loadMilliseconds(Candidate, Costs) + Zone;
}

std::optional<upstream_choice>
chooseUpstream(std::span<const upstream_candidate> Candidates,
               const choice_request &Request, const choice_costs &Costs) {
  std::optional<upstream_choice> Best;
  double BestWeighted = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const upstream_candidate &Candidate = Candidates[Index];
    if (Candidate.Health <= 0)
      continue;
    const double Expected = expectedMilliseconds(Candidate, Request, Costs);
    const double Weighted = (Expected + LeastMilliseconds) / Candidate.Health;
    if (Best && Weighted >= BestWeighted)
      continue;
    Best = upstream_choice{Index, Expected};
    BestWeighted = Weighted;
  }
  return Best;
}

} // namespace spindle
