#include "LibHost/in_flight_requests.h"

namespace spindle {

using lock = std::lock_guard<std::mutex>;

in_flight_requests::shard &
in_flight_requests::shardOf(std::string_view Digest) {
  return Shards[hashName(Digest) % ShardCount];
}

std::shared_ptr<void>
in_flight_requests::add(std::string_view Digest,
                        std::shared_ptr<cancellation> Cancellation) {
  shard &Shard = shardOf(Digest);
  const lock Lock(Shard.Mutex);
  const request_list::iterator Entry =
      Shard.Requests.emplace(std::string(Digest), std::move(Cancellation));
  return std::shared_ptr<void>(nullptr, [&Shard, Entry](void *) {
    const lock EndLock(Shard.Mutex);
    Shard.Requests.erase(Entry);
  });
}

std::size_t
in_flight_requests::cancelWithdrawn(const configuration_snapshot &Snapshot) {
  std::size_t Cancelled = 0;
  for (shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    for (const auto &[Digest, Cancellation] : Shard.Requests) {
      if (Snapshot.findKey(Digest))
        continue;
      Cancellation->cancel(result_code::KeyWithdrawn);
      ++Cancelled;
    }
  }
  return Cancelled;
}

std::size_t in_flight_requests::size() const {
  std::size_t Size = 0;
  for (const shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    Size += Shard.Requests.size();
  }
  return Size;
}

} // namespace spindle
