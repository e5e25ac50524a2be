#include "LibGateway/prompt_memory.h"

#include "LibCore/strong_id.h"

namespace spindle {

/// A part counts together with the adapter and with all parts before it.
static std::uint64_t nextKey(std::uint64_t Before, const prompt_part &Part) {
  static constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = (Before ^ Part.Id) * Multiplier;
  Mixed ^= Mixed >> 29U;
  return Mixed * Multiplier + 1;
}

static std::uint64_t firstKey(const request_description &Request) {
  return hashName(Request.Model + "/" + Request.Adapter);
}

void prompt_memory::setCapacity(std::int64_t Tokens) {
  Capacity = Tokens;
  shrink();
}

void prompt_memory::shrink() {
  while (Sum > Capacity && !Order.empty()) {
    Sum -= Order.back().Tokens;
    Index.erase(Order.back().Key);
    Order.pop_back();
  }
}

void prompt_memory::note(const request_description &Request) {
  std::uint64_t Key = firstKey(Request);
  for (const prompt_part &Part : Request.Prompt) {
    Key = nextKey(Key, Part);
    const auto Found = Index.find(Key);
    if (Found != Index.end()) {
      Order.splice(Order.begin(), Order, Found->second);
      continue;
    }
    Order.push_front({Key, Part.Tokens});
    Index.emplace(Key, Order.begin());
    Sum += Part.Tokens;
  }
  shrink();
}

std::int64_t
prompt_memory::keptTokens(const request_description &Request) const {
  std::uint64_t Key = firstKey(Request);
  std::int64_t Kept = 0;
  for (const prompt_part &Part : Request.Prompt) {
    Key = nextKey(Key, Part);
    if (!Index.contains(Key))
      break;
    Kept += Part.Tokens;
  }
  return Kept;
}

void prompt_memory::clear() {
  Order.clear();
  Index.clear();
  Sum = 0;
}

} // namespace spindle
