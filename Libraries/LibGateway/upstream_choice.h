#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H

#include "LibCore/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace spindle {

/// Whether an engine has loaded the adapter that a request needs.
enum class adapter_need { NotNeeded, Loaded, Absent };

/// The state of an upstream to which a request may be sent.
struct upstream_candidate {
  upstream_id Id;
  bool InOwnZone = false;
  adapter_need Adapter = adapter_need::NotNeeded;
  /// Whether the engine could load another adapter now.
  bool HasAvailableSlot = true;
  /// Whether this is the adapter's affinity engine, which all hosts prefer for
  /// loading it, so that a copy left in the engine's memory is reused.
  bool IsAffinityEngine = false;
  /// Prompt tokens sent by all hosts for which prefill has not finished.
  std::int64_t UnreadTokens = 0;
  /// Requests of all hosts in flight on this upstream.
  std::uint32_t Requests = 0;
  std::uint32_t Slots = 1;
  /// Prompt tokens of this request that are probably in the engine's prefix
  /// cache.
  std::int64_t CachedTokens = 0;
  /// Probability, from 0 to 1, that the upstream serves a request. An upstream
  /// of health 0 receives no requests.
  double Health = 1;
};

/// The properties of a request that affect the choice of its upstream.
struct choice_request {
  /// 0 for a request to a service without models.
  std::int64_t PromptTokens = 0;
  /// Usual duration of a request to a service without models.
  double PlainMilliseconds = 50;
  /// The latency objective, and the time that remains until it.
  double ObjectiveMilliseconds = 1'000;
  double RemainingMilliseconds = 1'000;
  /// Bytes that are transferred between zones if the upstream is in another
  /// one.
  double Bytes = 0;
};

/// Costs, in units of the value of an answer that meets its latency objective.
struct choice_costs {
  /// Value of an answer that misses its latency objective.
  double LateWorth = 0.3;
  /// Loading an adapter from the weight store.
  double Load = 0.6;
  /// Loading it on its affinity engine, which often has a copy in memory.
  double AffinityLoad = 0.2;
  double OtherZonePerMegabyte = 3;
  /// A second of waiting, apart from its effect on the latency objective.
  double WaitPerSecond = 0.1;
  /// Prefill speed of an engine.
  double ReadTokensPerMillisecond = 38;
  /// Time that each running request adds to the time to first token.
  double PerRequestMilliseconds = 0.5;
  double LoadMilliseconds = 270;
  double AffinityLoadMilliseconds = 150;
  /// Expected wait until an adapter can be unloaded if all are in use.
  double NoSlotMilliseconds = 300;
  double OtherZoneMilliseconds = 4;
};

/// An upstream with its expected latency and value.
struct upstream_choice {
  std::size_t Index = 0;
  /// Time to first token, or to the answer of a service without models.
  double ExpectedMilliseconds = 0;
  /// ExpectedMilliseconds without the wait for an adapter slot.
  double ServiceMilliseconds = 0;
  /// Expected worth minus costs.
  double Value = 0;
};

/// Estimates the latency of a request on \p Candidate. Thread-safe.
double expectedMilliseconds(const upstream_candidate &Candidate,
                            const choice_request &Request,
                            const choice_costs &Costs);
/// Expected worth of an answer after \p Expected milliseconds, from LateWorth
/// to 1. Since latency estimates have errors, it decreases smoothly around the
/// objective. Thread-safe.
double expectedWorth(double Expected, const choice_request &Request,
                     const choice_costs &Costs);
/// Returns the usable upstreams in descending order of value. Upstreams of
/// health 0 are left out. Thread-safe.
std::vector<upstream_choice>
rankUpstreams(std::span<const upstream_candidate> Candidates,
              const choice_request &Request, const choice_costs &Costs);
/// Ranks upstreams. rankUpstreams() with the default costs, except in
/// experiments.
using upstream_ranking = std::function<std::vector<upstream_choice>(
    std::span<const upstream_candidate>, const choice_request &)>;
/// Returns the first of rankUpstreams(), or nullopt if every candidate has
/// health 0. Thread-safe.
std::optional<upstream_choice>
chooseUpstream(std::span<const upstream_candidate> Candidates,
               const choice_request &Request, const choice_costs &Costs);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H
