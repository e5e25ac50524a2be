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

/// Whether an engine has the adapter that a request needs.
enum class adapter_presence { NotNeeded, Loaded, Absent };

/// What is known of one upstream that a request might be sent to.
struct upstream_candidate {
  upstream_id Id;
  bool InOwnZone = false;
  adapter_presence Adapter = adapter_presence::NotNeeded;
  /// Whether the engine could load another adapter now.
  bool HasAvailableSlot = true;
  /// The engine that all hosts prefer for this adapter while it is absent, so
  /// that copies in an engine's memory are found again.
  bool IsAffinityEngine = false;
  /// Tokens of prompts that all hosts have sent there and that are not read.
  std::int64_t UnreadTokens = 0;
  /// Requests that all hosts have under way there.
  std::uint32_t Requests = 0;
  std::uint32_t Slots = 1;
  /// Tokens of this request's prompt that the engine has read before.
  std::int64_t CachedTokens = 0;
  /// The chance that the upstream serves what it gets, from 0, gets nothing,
  /// to 1.
  double Health = 1;
};

/// What a request needs, as far as it differs from upstream to upstream.
struct choice_request {
  /// 0 for a call to a plain service.
  std::int64_t PromptTokens = 0;
  /// How long a plain call usually takes.
  double PlainMilliseconds = 50;
  /// The latency that callers expect, and what is left of it.
  double ObjectiveMilliseconds = 1'000;
  double RemainingMilliseconds = 1'000;
  /// Bytes that cross the border if the upstream is in another zone.
  double Bytes = 0;
};

/// What things cost, in parts of what an answer in time is worth.
struct choice_costs {
  /// An answer that comes later than callers expect.
  double LateWorth = 0.3;
  /// A load from the weight store.
  double Load = 0.6;
  /// The same at the adapter's home, which often has a copy in its memory.
  double AffinityLoad = 0.2;
  double OtherZonePerMegabyte = 3;
  /// A second of the caller's waiting, where it does not make the answer late.
  double WaitPerSecond = 0.1;
  /// Tokens of a prompt that an engine reads in a millisecond.
  double ReadTokensPerMillisecond = 38;
  /// What a request that runs there adds to the time until the first token.
  double PerRequestMilliseconds = 0.5;
  double LoadMilliseconds = 270;
  double AffinityLoadMilliseconds = 150;
  /// Until an adapter can be unloaded, if all are in use.
  double NoSlotMilliseconds = 300;
  double OtherZoneMilliseconds = 4;
};

/// An upstream and what is expected there.
struct upstream_choice {
  std::size_t Index = 0;
  /// Time to the first token, or to the answer.
  double ExpectedMilliseconds = 0;
  /// The same without the wait for a place for the adapter.
  double ServiceMilliseconds = 0;
  /// Expected worth less costs.
  double Value = 0;
};

/// The time that a request would wait at \p Candidate. Thread-safe.
double expectedMilliseconds(const upstream_candidate &Candidate,
                            const choice_request &Request,
                            const choice_costs &Costs);
/// The worth that is expected of an answer after \p Expected milliseconds, from
/// LateWorth to 1. The estimate errs, so it falls off smoothly around the
/// objective. Thread-safe.
double expectedWorth(double Expected, const choice_request &Request,
                     const choice_costs &Costs);
/// The upstreams that may be used, the one whose answer is worth most, less
/// what it costs, first. Those of health 0 are left out. Thread-safe.
std::vector<upstream_choice>
rankUpstreams(std::span<const upstream_candidate> Candidates,
              const choice_request &Request, const choice_costs &Costs);
/// How upstreams are put in order; rankUpstreams() with the costs in use, but
/// for experiments.
using upstream_ranking = std::function<std::vector<upstream_choice>(
    std::span<const upstream_candidate>, const choice_request &)>;
/// The first of rankUpstreams(); none if every candidate's health is 0.
/// Thread-safe.
std::optional<upstream_choice>
chooseUpstream(std::span<const upstream_candidate> Candidates,
               const choice_request &Request, const choice_costs &Costs);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H
