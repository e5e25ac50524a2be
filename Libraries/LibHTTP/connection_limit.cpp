#include "LibHTTP/connection_limit.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace spindle {

// Files, event loops, timers and libraries.
static constexpr std::size_t FileDescriptors = 200;
// The part of the others that hosts, the store, metrics and readiness have: an
// eighth.
static constexpr std::size_t ReserveDivisor = 8;
// A caller's own connection, and one to an upstream.
static constexpr std::size_t DescriptorsPerCaller = 2;

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 ||
      Limit.rlim_cur == RLIM_INFINITY)
    return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(Limit.rlim_cur);
}

std::size_t callerConnectionLimit(std::size_t Descriptors) {
  const std::size_t Sockets =
      Descriptors - std::min(Descriptors, FileDescriptors);
  const std::size_t Unreserved = Sockets - Sockets / ReserveDivisor;
  return std::max<std::size_t>(1, Unreserved / DescriptorsPerCaller);
}

bool isCrowded(std::size_t Open, std::size_t Limit) {
  return Open >= Limit - Limit / 4;
}

} // namespace spindle
