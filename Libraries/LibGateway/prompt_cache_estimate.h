#ifndef PARSLEYSPINDLE_LIBGATEWAY_PROMPT_CACHE_ESTIMATE_H
#define PARSLEYSPINDLE_LIBGATEWAY_PROMPT_CACHE_ESTIMATE_H

#include "LibGateway/request_description.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace spindle {

/// Estimates which prompt parts an engine has in its prefix cache: the most
/// recently used ones, up to a number of tokens. Cached parts are valid for one
/// adapter only. Not thread-safe.
class prompt_cache_estimate {
public:
  /// Sets the cache size of the engine in tokens and evicts parts beyond it.
  void setCapacity(std::int64_t Tokens);
  /// Records that the engine has processed the request's prompt.
  void note(const request_description &Request);
  /// Returns the length of the cached prefix of the prompt in tokens.
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
  /// Most recently used first.
  std::list<cached_part> ByRecency;
  std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> Index;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PROMPT_CACHE_ESTIMATE_H
