#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_PREFIX_CACHE_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_PREFIX_CACHE_H

#include "LibCore/runtime_clock.h"
#include "LibEngine/engine_port.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spindle {

/// An engine's prefix cache: the prompts' first blocks, per adapter, in
/// limited memory, the least recently used evicted first. It publishes events
/// that come late and with gaps. Not thread-safe.
class prefix_cache {
public:
  /// Keeps at most \p Capacity entries.
  explicit prefix_cache(std::size_t Capacity) : Capacity(Capacity) {}

  /// Uses a prefix and stores it if it was not; returns whether it was.
  bool use(time_point Now, std::string_view Adapter, std::uint64_t PrefixHash);
  /// Empties the cache without events, as a restart does.
  void clear();
  /// The events after \p Sequence that are at least \p Lag old; with
  /// \p GapEvery above 0, each such event is missing.
  std::vector<engine_cache_event> eventsSince(time_point Now,
                                              std::uint64_t Sequence,
                                              milliseconds Lag,
                                              std::uint64_t GapEvery) const;

private:
  using entry_key = std::pair<std::string, std::uint64_t>;
  struct dated_event {
    time_point At;
    engine_cache_event Event;
  };
  static constexpr std::size_t KeptEvents = 4096;

  void publish(time_point Now, std::uint64_t PrefixHash, bool Stored);

  std::size_t Capacity;
  /// The most recently used first.
  std::list<entry_key> Order;
  std::map<entry_key, std::list<entry_key>::iterator> Entries;
  std::uint64_t LastSequence = 0;
  std::deque<dated_event> Events;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_PREFIX_CACHE_H
