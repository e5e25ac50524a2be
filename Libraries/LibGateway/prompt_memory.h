#ifndef PARSLEYSPINDLE_LIBGATEWAY_PROMPT_MEMORY_H
#define PARSLEYSPINDLE_LIBGATEWAY_PROMPT_MEMORY_H

#include "LibGateway/request_description.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace spindle {

/// Which parts of prompts an engine has probably kept: those that were sent
/// there last, up to a number of tokens. Parts count for one adapter only.
/// Not thread-safe.
class prompt_cache_estimate {
public:
  /// Sets how many tokens the engine keeps; drops what is beyond.
  void setCapacity(std::int64_t Tokens);
  /// Notes that the engine has read the request's prompt.
  void note(const request_description &Request);
  /// How many tokens of the prompt's beginning the engine has kept.
  std::int64_t cachedTokens(const request_description &Request) const;
  void clear();

private:
  struct cached_part {
    std::uint64_t Key = 0;
    std::int64_t Tokens = 0;
  };

  void evictToCapacity();

  std::int64_t Capacity = 100'000;
  std::int64_t TotalTokens = 0;
  /// The part that was used last comes first.
  std::list<cached_part> ByRecency;
  std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> Index;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PROMPT_MEMORY_H
