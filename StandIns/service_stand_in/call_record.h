#ifndef PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_CALL_RECORD_H
#define PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_CALL_RECORD_H

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace spindle {

/// What a plain service has run.
struct call_summary {
  /// Calls that arrived.
  std::uint64_t Arrived = 0;
  /// Calls that took effect.
  std::uint64_t Effects = 0;
  /// Order keys that took effect more than once, with their counts.
  std::map<std::string, std::uint64_t> Repeated;
  /// Effects by "METHOD path".
  std::map<std::string, std::uint64_t> ByCall;
  std::uint64_t OrderKeys = 0;
};

/// Counts a service's calls and their effects by order key. Thread-safe;
/// order keys are spread over shards, so that recording is no bottleneck.
class call_record {
public:
  /// Counts a call that has arrived.
  void arrived();
  /// Counts a call that took effect, unless \p Once is set and its order key
  /// has taken effect before. \p OrderKey may be empty. Returns how often the
  /// order key has taken effect, this time included.
  std::uint64_t takeEffect(std::string_view Method, std::string_view Path,
                           std::string_view OrderKey, bool Once);
  call_summary summary() const;
  /// How often each order key has taken effect.
  std::map<std::string, std::uint64_t> orderKeys() const;
  void clear();

private:
  struct shard {
    mutable std::mutex Mutex;
    std::uint64_t Arrived = 0;
    std::uint64_t Effects = 0;
    std::map<std::string, std::uint64_t, std::less<>> Orders;
    std::map<std::string, std::uint64_t, std::less<>> ByCall;
  };
  static constexpr std::size_t ShardCount = 16;

  shard &shardOf(std::string_view Text) const;

  mutable std::array<shard, ShardCount> Shards;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_CALL_RECORD_H
