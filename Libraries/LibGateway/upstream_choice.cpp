#include "LibGateway/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace spindle {

// Typical error of latency estimates, as a fraction of the objective.
static constexpr double EstimateErrorRatio = 0.15;
static constexpr double BytesPerMegabyte = 1e6;
static constexpr double MillisecondsPerSecond = 1'000;

static double slotWaitMilliseconds(const upstream_candidate &Candidate,
                                   const choice_costs &Costs) {
  const bool Waits =
      Candidate.Adapter == adapter_need::Absent && !Candidate.HasAvailableSlot;
  return Waits ? Costs.NoSlotMilliseconds : 0;
}

static double loadMilliseconds(const upstream_candidate &Candidate,
                               const choice_costs &Costs) {
  if (Candidate.Adapter != adapter_need::Absent)
    return 0;
  return slotWaitMilliseconds(Candidate, Costs) +
         (Candidate.IsAffinityEngine ? Costs.AffinityLoadMilliseconds
                                     : Costs.LoadMilliseconds);
}

static double loadCost(const upstream_candidate &Candidate,
                       const choice_costs &Costs) {
  if (Candidate.Adapter != adapter_need::Absent)
    return 0;
  return Candidate.IsAffinityEngine ? Costs.AffinityLoad : Costs.Load;
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

double expectedWorth(double Expected, const choice_request &Request,
                     const choice_costs &Costs) {
  const double Error =
      std::max(1.0, Request.ObjectiveMilliseconds * EstimateErrorRatio);
  const double InTime =
      1 / (1 + std::exp((Expected - Request.RemainingMilliseconds) / Error));
  return Costs.LateWorth + (1 - Costs.LateWorth) * InTime;
}

static double valueOf(const upstream_candidate &Candidate, double Expected,
                      const choice_request &Request,
                      const choice_costs &Costs) {
  const double Zone = Candidate.InOwnZone ? 0
                                          : Request.Bytes / BytesPerMegabyte *
                                                Costs.OtherZonePerMegabyte;
  const double Wait = Expected / MillisecondsPerSecond * Costs.WaitPerSecond;
  return expectedWorth(Expected, Request, Costs) * Candidate.Health -
         loadCost(Candidate, Costs) - Zone - Wait;
}

std::vector<upstream_choice>
rankUpstreams(std::span<const upstream_candidate> Candidates,
              const choice_request &Request, const choice_costs &Costs) {
  std::vector<upstream_choice> Ranked;
  Ranked.reserve(Candidates.size());
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const upstream_candidate &Candidate = Candidates[Index];
    if (Candidate.Health <= 0)
      continue;
    const double Expected = expectedMilliseconds(Candidate, Request, Costs);
    const double Value = valueOf(Candidate, Expected, Request, Costs);
    Ranked.push_back({Index, Expected,
                      Expected - slotWaitMilliseconds(Candidate, Costs),
                      Value});
  }
  std::stable_sort(
      Ranked.begin(), Ranked.end(),
      [](const upstream_choice &Left, const upstream_choice &Right) {
        return Left.Value > Right.Value;
      });
  return Ranked;
}

std::optional<upstream_choice>
chooseUpstream(std::span<const upstream_candidate> Candidates,
               const choice_request &Request, const choice_costs &Costs) {
  const std::vector<upstream_choice> Ranked =
      rankUpstreams(Candidates, Request, Costs);
  if (Ranked.empty())
    return std::nullopt;
  return Ranked.front();
}

} // namespace spindle
