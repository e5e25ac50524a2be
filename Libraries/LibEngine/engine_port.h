#ifndef PARSLEYSPINDLE_LIBENGINE_ENGINE_PORT_H
#define PARSLEYSPINDLE_LIBENGINE_ENGINE_PORT_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// What an engine reports of its state. It lags by Age.
struct engine_report {
  /// Changes at every start of the engine, which starts empty.
  std::uint64_t Incarnation = 0;
  /// "name@version" of every adapter that is loaded.
  std::vector<std::string> Loaded;
  std::vector<std::string> Loading;
  std::uint32_t Slots = 0;
  std::uint32_t BatchSize = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// The highest fencing number that the engine has received.
  std::uint64_t Fence = 0;
  milliseconds Age{0};
};

/// An event of the engine's prefix cache. Events come late and with gaps.
struct engine_cache_event {
  std::uint64_t Sequence = 0;
  /// Hash of the prompt's first block, as the engine computes it.
  std::uint64_t PrefixHash = 0;
  bool Stored = true;
};

/// Orders and queries to a model engine. Each function blocks the calling
/// fiber for at most its limit. Thread-safe.
struct engine_port {
  /// Loads an adapter ("name@version") and waits until it serves.
  /// \throws spindle_error AdapterLoadFailed (also for an old fence),
  /// UpstreamUnreachable, UpstreamTimeout (may be loading).
  std::function<void(const endpoint &, std::string_view Adapter,
                     std::uint64_t Fence, milliseconds Limit)>
      Load;
  /// Unloads an adapter. \throws as Load.
  std::function<void(const endpoint &, std::string_view Adapter,
                     std::uint64_t Fence, milliseconds Limit)>
      Unload;
  std::function<engine_report(const endpoint &, milliseconds Limit)> Report;
  /// The cache events after \p Sequence that the engine still has.
  std::function<std::vector<engine_cache_event>(
      const endpoint &, std::uint64_t Sequence, milliseconds Limit)>
      CacheEvents;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_ENGINE_PORT_H
