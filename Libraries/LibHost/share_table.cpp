#include "LibHost/share_table.h"

namespace spindle {

using lock = std::lock_guard<std::mutex>;

share_table::shard &share_table::shardOf(const bucket_id &Id) {
  return Shards[bucket_id_hash()(Id) % ShardCount];
}

bool share_table::with(const bucket_id &Id,
                       const std::function<void(share_entry &)> &Work) {
  shard &Shard = shardOf(Id);
  const lock Lock(Shard.Mutex);
  const auto Found = Shard.Entries.find(Id);
  if (Found == Shard.Entries.end())
    return false;
  Work(Found->second);
  return true;
}

void share_table::withOrInsert(const bucket_id &Id,
                               const std::function<void(share_entry &)> &Work) {
  shard &Shard = shardOf(Id);
  const lock Lock(Shard.Mutex);
  Work(Shard.Entries[Id]);
}

void share_table::forEach(const work &Work) {
  for (shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    for (auto &[Id, Entry] : Shard.Entries)
      Work(Id, Entry);
  }
}

void share_table::removeIf(
    const std::function<bool(const bucket_id &, const share_entry &)> &Remove) {
  for (shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    std::erase_if(Shard.Entries, [&Remove](const auto &Item) {
      return Remove(Item.first, Item.second);
    });
  }
}

} // namespace spindle
