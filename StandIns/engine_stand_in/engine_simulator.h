#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SIMULATOR_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SIMULATOR_H

#include "LibCore/runtime_clock.h"
#include "LibEngine/engine_port.h"
#include "engine_stand_in/prefix_cache.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spindle {

struct engine_simulator_settings {
  /// The base model, which is always loaded.
  std::string BaseModel = "base";
  std::uint32_t Slots = 8;
  std::uint32_t BatchSize = 16;
  /// A batch step: a fixed time, a time for each running request, and for
  /// each prompt token of the requests that enter with it.
  nanoseconds StepTime = milliseconds(20);
  nanoseconds StepTimePerRequest = std::chrono::microseconds(200);
  nanoseconds PrefillTimePerToken = std::chrono::microseconds(50);
  /// The part of the prefill time that a cached prefix leaves.
  double CachedPrefillPart = 0.1;
  std::size_t CacheEntries = 256;
  bool HonoursFencing = true;
};

/// A request in the batch.
struct engine_request {
  std::uint64_t Id = 0;
  std::string Adapter;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 1;
  /// Tokens that the answer will have; at least 1.
  std::uint32_t AnswerTokens = 1;
  /// 0 is served first.
  int Priority = 0;
};

/// A token that a step has generated.
struct generated_token {
  std::uint64_t Request = 0;
  bool Last = false;
};

enum class order_reply { Done, OldFence, NoSlot, NotLoaded, AlreadyThere };

/// What an engine has done, for checks and measurements.
struct engine_record {
  std::uint64_t Steps = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t PeakRunning = 0;
  std::uint64_t Loads = 0;
  std::uint64_t LoadsFailed = 0;
  std::uint64_t Unloads = 0;
  std::uint64_t OldFences = 0;
  std::uint64_t CacheHits = 0;
  std::uint64_t CacheMisses = 0;
  std::uint64_t Restarts = 0;
  /// Adapters unloaded while a request used them, one entry each time.
  std::vector<std::string> EvictedInUse;
  std::map<std::string, std::uint64_t, std::less<>> RequestsByAdapter;
};

/// An engine that batches continuously: in each step every running request
/// gets one token; between steps waiting requests enter by priority. Pure:
/// time comes in as an argument. Not thread-safe.
class engine_simulator {
public:
  engine_simulator(engine_simulator_settings Settings,
                   std::uint64_t Incarnation);

  /// Takes a slot for an adapter, which loads until finishLoad().
  order_reply beginLoad(std::string_view Adapter, std::uint64_t Fence);
  /// Ends a load that began in \p Incarnation.
  void finishLoad(std::string_view Adapter, std::uint64_t Incarnation,
                  bool Loaded);
  /// Unloads an adapter as ordered. Requests that use it end; their ids are
  /// added to \p Cut and the eviction is recorded.
  order_reply unload(std::string_view Adapter, std::uint64_t Fence,
                     std::vector<std::uint64_t> &Cut);
  /// Whether requests for \p Adapter can run.
  bool serves(std::string_view Adapter) const;
  bool loading(std::string_view Adapter) const;

  /// Queues a request. Precondition: serves(Request.Adapter).
  void submit(time_point Now, const engine_request &Request);
  /// Ends a request early; unknown ids are ignored.
  void cancel(std::uint64_t Request);
  /// When the running step ends; nullopt if nothing runs.
  std::optional<time_point> stepEnd() const { return StepEnd; }
  /// Ends the running step and starts the next one.
  /// Precondition: stepEnd() is set and not later than \p Now.
  std::vector<generated_token> step(time_point Now);
  /// Counts a request that runs outside of the batch.
  void beginUnbatched(const engine_request &Request);
  void endUnbatched(std::uint64_t Request, std::uint64_t Tokens);

  /// Restarts the engine, empty. All requests end; their ids are returned.
  std::vector<std::uint64_t> restart();
  /// The present state; Age and Leaving are not set.
  engine_report report() const;
  const engine_record &record() const { return Record; }
  const prefix_cache &cache() const { return Cache; }
  std::uint64_t incarnation() const { return Incarnation; }

private:
  struct active_request {
    engine_request Request;
    std::uint32_t Generated = 0;
    bool Unbatched = false;
  };

  bool refuses(std::uint64_t Fence);
  void startStep(time_point Now);
  nanoseconds admit(time_point Now);

  engine_simulator_settings Settings;
  std::uint64_t Incarnation;
  std::uint64_t HighestFence = 0;
  /// Adapters in slots; false while loading.
  std::map<std::string, bool, std::less<>> Adapters;
  std::map<std::uint64_t, active_request> Active;
  /// Waiting requests by priority and arrival.
  std::map<std::pair<int, std::uint64_t>, std::uint64_t> Waiting;
  std::uint64_t Arrivals = 0;
  std::vector<std::uint64_t> Running;
  std::optional<time_point> StepEnd;
  prefix_cache Cache;
  engine_record Record;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SIMULATOR_H
