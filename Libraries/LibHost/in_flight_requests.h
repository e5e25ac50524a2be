#ifndef PARSLEYSPINDLE_LIBHOST_IN_FLIGHT_REQUESTS_H
#define PARSLEYSPINDLE_LIBHOST_IN_FLIGHT_REQUESTS_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibRuntime/cancellation.h"

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace spindle {

/// The running requests that were authenticated by a key, so that the
/// withdrawal of a key also cancels requests already in progress. All methods
/// are thread-safe.
class in_flight_requests {
public:
  /// Registers a request until the returned guard is destroyed. The guard
  /// must not outlive this object.
  std::shared_ptr<void> add(std::string_view Digest,
                            std::shared_ptr<cancellation> Cancellation);
  /// Cancels every request whose key \p Snapshot does not grant, with
  /// KeyWithdrawn. Returns the number of cancelled requests.
  std::size_t cancelWithdrawn(const configuration_snapshot &Snapshot);
  /// The number of registered requests.
  std::size_t size() const;

private:
  using request_list =
      std::unordered_multimap<std::string, std::shared_ptr<cancellation>>;

  struct shard {
    mutable std::mutex Mutex;
    request_list Requests;
  };

  static constexpr std::size_t ShardCount = 16;

  shard &shardOf(std::string_view Digest);

  std::array<shard, ShardCount> Shards;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_IN_FLIGHT_REQUESTS_H
