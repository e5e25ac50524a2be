#include "service_stand_in/call_record.h"

#include <functional>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

call_record::shard &call_record::shardOf(std::string_view Text) const {
  return Shards[std::hash<std::string_view>()(Text) % ShardCount];
}

void call_record::arrived() {
  const lock Lock(Shards[0].Mutex);
  ++Shards[0].Arrived;
}

std::uint64_t call_record::takeEffect(std::string_view Method,
                                      std::string_view Path,
                                      std::string_view OrderKey, bool Once) {
  std::string Call(Method);
  Call += ' ';
  Call += Path;
  shard &Shard = shardOf(OrderKey.empty() ? std::string_view(Call) : OrderKey);
  const lock Lock(Shard.Mutex);
  if (!OrderKey.empty()) {
    std::uint64_t &Count = Shard.Orders[std::string(OrderKey)];
    if (Once && Count > 0)
      return Count;
    ++Shard.Effects;
    ++Shard.ByCall[Call];
    return ++Count;
  }
  ++Shard.Effects;
  ++Shard.ByCall[Call];
  return 1;
}

call_summary call_record::summary() const {
  call_summary Summary;
  for (const shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    Summary.Arrived += Shard.Arrived;
    Summary.Effects += Shard.Effects;
    Summary.OrderKeys += Shard.Orders.size();
    for (const auto &[Key, Count] : Shard.Orders)
      if (Count > 1)
        Summary.Repeated.emplace(Key, Count);
    for (const auto &[Call, Count] : Shard.ByCall)
      Summary.ByCall[Call] += Count;
  }
  return Summary;
}

std::map<std::string, std::uint64_t> call_record::orderKeys() const {
  std::map<std::string, std::uint64_t> Keys;
  for (const shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    Keys.insert(Shard.Orders.begin(), Shard.Orders.end());
  }
  return Keys;
}

void call_record::clear() {
  for (shard &Shard : Shards) {
    const lock Lock(Shard.Mutex);
    Shard.Arrived = 0;
    Shard.Effects = 0;
    Shard.Orders.clear();
    Shard.ByCall.clear();
  }
}

} // namespace spindle
