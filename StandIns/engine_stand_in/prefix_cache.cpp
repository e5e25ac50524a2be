#include "engine_stand_in/prefix_cache.h"

namespace spindle {

bool prefix_cache::use(time_point Now, std::string_view Adapter,
                       std::uint64_t PrefixHash) {
  const entry_key Key{std::string(Adapter), PrefixHash};
  const auto Found = Entries.find(Key);
  if (Found != Entries.end()) {
    Order.splice(Order.begin(), Order, Found->second);
    return true;
  }
  if (Capacity == 0)
    return false;
  if (Entries.size() == Capacity) {
    publish(Now, Order.back().second, false);
    Entries.erase(Order.back());
    Order.pop_back();
  }
  Order.push_front(Key);
  Entries.emplace(Key, Order.begin());
  publish(Now, PrefixHash, true);
  return false;
}

void prefix_cache::clear() {
  Entries.clear();
  Order.clear();
  Events.clear();
}

void prefix_cache::publish(time_point Now, std::uint64_t PrefixHash,
                           bool Stored) {
  Events.push_back({Now, {++LastSequence, PrefixHash, Stored}});
  if (Events.size() > KeptEvents)
    Events.pop_front();
}

std::vector<engine_cache_event>
prefix_cache::eventsSince(time_point Now, std::uint64_t Sequence,
                          milliseconds Lag, std::uint64_t GapEvery) const {
  std::vector<engine_cache_event> Result;
  for (const dated_event &Entry : Events) {
    const std::uint64_t Number = Entry.Event.Sequence;
    const bool Missing = GapEvery > 0 && Number % GapEvery == 0;
    if (Number > Sequence && Entry.At + Lag <= Now && !Missing)
      Result.push_back(Entry.Event);
  }
  return Result;
}

} // namespace spindle
