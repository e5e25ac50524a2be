#ifndef PARSLEYSPINDLE_LIBROUTING_ENGINE_PLACEMENT_H
#define PARSLEYSPINDLE_LIBROUTING_ENGINE_PLACEMENT_H

#include "LibCore/runtime_clock.h"
#include "LibRouting/placed_work.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace spindle {

/// How soon an engine can serve requests for an adapter.
enum class adapter_readiness {
  /// It is loaded, or the request names none.
  Ready,
  Loading,
  /// A slot is free.
  Loadable,
  /// Another adapter must be unloaded first.
  NeedsEviction,
  /// All slots are in use.
  NoSlot,
  /// The engine accepts no orders now.
  Unavailable,
};

/// An engine on which a request may be placed.
struct engine_candidate {
  /// Never null.
  const placed_work *Work = nullptr;
  adapter_readiness Adapter = adapter_readiness::Ready;
  /// Whether the engine probably has a copy of the adapter in its memory, from
  /// which it loads in no time.
  bool LikelyHasCopy = false;
  /// How often the adapter that would be evicted is asked for, as a decayed
  /// number of uses.
  double VictimUses = 0;
  /// The prompt tokens that the engine has kept.
  std::int64_t CachedTokens = 0;
  /// How long reading and writing take, as multiples of the usual.
  double ReadingFactor = 1;
  double WritingFactor = 1;
  /// The probability, from 0 to 1, that the engine serves a request. One of
  /// health 0 receives none.
  double Health = 1;
  std::uint32_t BatchSlots = 1;
  /// The size of its memory in tokens; 0 if not known.
  std::int64_t MemoryTokens = 0;
};

/// A request that needs an engine.
struct placement_query {
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;
  /// Output tokens that are rarely exceeded.
  std::int64_t HighOutputTokens = 0;
  nanoseconds GapObjective{0};
  /// The latency objective for the first event, and the time until it.
  nanoseconds Objective{0};
  nanoseconds Remaining{0};
  /// The time until a first event is no longer of use.
  nanoseconds Useful{0};
  /// How often the adapter is asked for, as a decayed number of uses, and on
  /// how many engines it is loaded or loading.
  double AdapterUses = 0;
  std::uint32_t AdapterCopies = 0;
};

/// Costs, in units of the value of an answer that meets its objectives, and the
/// usual speed of an engine.
struct placement_costs {
  /// Value of an answer that misses an objective.
  double LateWorth = 0.3;
  /// Fetching an adapter from the weight store.
  double Fetch = 0.6;
  /// Loading one of which the engine has a copy.
  double CopyLoad = 0.1;
  /// A second until the first event, apart from its effect on the objective.
  double WaitPerSecond = 0.1;
  double ReadTokensPerMillisecond = 38;
  double MillisecondsPerOutputToken = 6;
  nanoseconds FetchTime = milliseconds(280);
  nanoseconds CopyLoadTime = milliseconds(40);
  /// Expected wait for a slot if all are in use.
  nanoseconds SlotWait = milliseconds(400);
};

/// An engine with what is expected of the request there.
struct engine_choice {
  /// Index of the candidate.
  std::size_t Index = 0;
  request_work Work;
  /// How long until the adapter is loaded.
  nanoseconds Loading{0};
  /// How long until the first event.
  nanoseconds FirstEvent{0};
  /// Expected worth, less the costs and the harm to the engine's other
  /// requests.
  double Value = 0;
};

/// The functions below are thread-safe as far as the candidates are not
/// modified meanwhile.

/// What the request asks of an engine.
request_work workOn(const engine_candidate &Engine,
                    const placement_query &Query, const placement_costs &Costs);
/// Whether the engine has a batch slot and the memory for the request. An
/// engine that holds more than its memory crashes.
bool hasRoom(const engine_candidate &Engine, const placement_query &Query);
/// How long until the engine is expected to have room as hasRoom() has it, if
/// no other request takes it; none if it never has. 0 if it has room now.
std::optional<nanoseconds> timeUntilRoom(const engine_candidate &Engine,
                                         const placement_query &Query,
                                         time_point Now);
/// The probability that the request's stream pauses too long because of the
/// prompts that the engine reads beside it.
double ownPauseRisk(const engine_candidate &Engine, const request_work &Work,
                    time_point Now);
/// The expected number of the engine's streams that pause too long because it
/// reads the request's prompt.
double harmToOthers(const engine_candidate &Engine, const request_work &Work,
                    time_point Now);
/// Returns the engines that have room, in descending order of value. This
/// answers the load of long prompts beside short streams: a prompt goes where
/// few streams wait for it, and a stream goes where few long prompts are read.
std::vector<engine_choice>
rankEngines(std::span<const engine_candidate> Engines,
            const placement_query &Query, const placement_costs &Costs,
            time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ENGINE_PLACEMENT_H
