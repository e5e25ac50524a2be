#include "LibFleetModel/fleet_model.h"
#include "LibGateway/fleet_table.h"

#include <algorithm>
#include <memory>
#include <random>

namespace spindle {

namespace {

/// The ranking of \p Candidates by \p Value instead of by worth.
template <typename value>
std::vector<upstream_choice>
rankBy(std::span<const upstream_candidate> Candidates,
       const choice_request &Request, value Value) {
  std::vector<upstream_choice> Ranked = rankByWorth(Candidates, Request);
  for (upstream_choice &Choice : Ranked)
    Choice.Value = Value(Candidates[Choice.Index]);
  std::stable_sort(
      Ranked.begin(), Ranked.end(),
      [](const upstream_choice &Left, const upstream_choice &Right) {
        return Left.Value > Right.Value;
      });
  return Ranked;
}

} // namespace

std::vector<model_policy> modelPolicies() {
  const upstream_ranking AtRandom =
      [Random = std::make_shared<std::mt19937_64>(1)](
          std::span<const upstream_candidate> Candidates,
          const choice_request &Request) {
        return rankBy(Candidates, Request, [&Random](const auto &) {
          return std::uniform_real_distribution<double>(0, 1)(*Random);
        });
      };
  const upstream_ranking LeastLoaded =
      [](std::span<const upstream_candidate> Candidates,
         const choice_request &Request) {
        return rankBy(Candidates, Request, [](const auto &Candidate) {
          return -static_cast<double>(Candidate.Requests);
        });
      };
  const upstream_ranking Affinity =
      [](std::span<const upstream_candidate> Candidates,
         const choice_request &Request) {
        return rankBy(Candidates, Request, [](const auto &Candidate) {
          return Candidate.IsAffinityEngine ? 1.0 : 0.0;
        });
      };
  return {{"present", rankByWorth, true},
          {"present, one engine", rankByWorth, false},
          {"random", AtRandom, false},
          {"least loaded", LeastLoaded, false},
          {"affinity", Affinity, false}};
}

} // namespace spindle
