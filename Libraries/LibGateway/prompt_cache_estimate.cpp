#include "LibGateway/prompt_cache_estimate.h"

#include "LibCore/strong_id.h"

namespace spindle {

/// A part's key covers the model, the adapter and all preceding parts.
static std::uint64_t nextKey(std::uint64_t Previous, const prompt_part &Part) {
  static constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = (Previous ^ Part.Id) * Multiplier;
  Mixed ^= Mixed >> 29U;
  return Mixed * Multiplier + 1;
}

static std::uint64_t firstKey(const request_description &Request) {
  return hashName(Request.Model + "/" + Request.Adapter);
}

void prompt_cache_estimate::setCapacity(std::int64_t Tokens) {
  Capacity = Tokens;
  evictToCapacity();
}

void prompt_cache_estimate::evictToCapacity() {
  while (TotalTokens > Capacity && !ByRecency.empty()) {
    TotalTokens -= ByRecency.back().Tokens;
    Index.erase(ByRecency.back().Key);
    ByRecency.pop_back();
  }
}

void prompt_cache_estimate::note(const request_description &Request) {
  std::uint64_t Key = firstKey(Request);
  for (const prompt_part &Part : Request.Prompt) {
    Key = nextKey(Key, Part);
    const auto Found = Index.find(Key);
    if (Found != Index.end()) {
      ByRecency.splice(ByRecency.begin(), ByRecency, Found->second);
      continue;
    }
    ByRecency.push_front({Key, Part.Tokens});
    Index.emplace(Key, ByRecency.begin());
    TotalTokens += Part.Tokens;
  }
  evictToCapacity();
}

std::int64_t
prompt_cache_estimate::cachedTokens(const request_description &Request) const {
  std::uint64_t Key = firstKey(Request);
  std::int64_t Cached = 0;
  for (const prompt_part &Part : Request.Prompt) {
    Key = nextKey(Key, Part);
    if (!Index.contains(Key))
      break;
    Cached += Part.Tokens;
  }
  return Cached;
}

void prompt_cache_estimate::clear() {
  ByRecency.clear();
  Index.clear();
  TotalTokens = 0;
}

} // namespace spindle
