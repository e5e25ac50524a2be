#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H

#include "LibCore/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace spindle {

/// Whether an engine has the adapter that a request needs.
enum class adapter_presence { NotNeeded, Loaded, Loading, Absent };

/// What is known of one upstream that a request might be sent to.
struct upstream_candidate {
  upstream_id Id;
  bool InOwnZone = false;
  adapter_presence Adapter = adapter_presence::NotNeeded;
  /// The engine that all hosts prefer for this adapter while it is absent, so
  /// that copies in an engine's memory are found again.
  bool IsAdapterHome = false;
  /// Tokens of prompts that all hosts have sent there and that are not read.
  std::int64_t UnreadTokens = 0;
  /// Requests that all hosts have under way there.
  std::uint32_t Requests = 0;
  std::uint32_t Slots = 1;
  /// Tokens of this request's prompt that the engine has read before.
  std::int64_t CachedTokens = 0;
  /// From 0, gets nothing, to 1.
  double Health = 1;
};

/// What a request needs, as far as it differs from upstream to upstream.
struct choice_request {
  /// 0 for a call to a plain service.
  std::int64_t PromptTokens = 0;
  /// How long a plain call usually takes.
  double PlainMilliseconds = 50;
};

struct choice_costs {
  /// Tokens of a prompt that an engine reads in a millisecond.
  double ReadTokensPerMillisecond = 38;
  /// What a request that runs there adds to the time until the first token.
  double PerRequestMilliseconds = 0.3;
  double LoadMilliseconds = 260;
  /// At the engine that probably has a copy in its memory.
  double HomeLoadMilliseconds = 120;
  /// What leaving the zone costs.
  double OtherZoneMilliseconds = 90;
};

/// An upstream and the time to the first token, or the answer, there.
struct upstream_choice {
  std::size_t Index = 0;
  double ExpectedMilliseconds = 0;
};

/// The time that a request would wait at \p Candidate. Thread-safe.
double expectedMilliseconds(const upstream_candidate &Candidate,
                            const choice_request &Request,
                            const choice_costs &Costs);
/// Chooses the upstream with the least expected time, weighted by health.
/// None if every candidate's health is 0. Thread-safe.
std::optional<upstream_choice>
chooseUpstream(std::span<const upstream_candidate> Candidates,
               const choice_request &Request, const choice_costs &Costs);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_CHOICE_H
