#include "LibMembership/rendezvous.h"

#include <algorithm>

namespace spindle {

/// One step of SplitMix64.
static std::uint64_t mix(std::uint64_t Value) {
  Value += 0x9e3779b97f4a7c15U;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

std::uint64_t rendezvousScore(std::uint64_t Key, host_id Host) {
  return mix(mix(Key) ^ Host.Value);
}

host_id preferredHost(std::uint64_t Key, std::span<const host_id> Hosts) {
  const auto Best =
      std::max_element(Hosts.begin(), Hosts.end(), [Key](host_id A, host_id B) {
        return rendezvousScore(Key, A) < rendezvousScore(Key, B);
      });
  return Best == Hosts.end() ? host_id{} : *Best;
}

std::size_t rendezvousRank(std::uint64_t Key, host_id Host,
                           std::span<const host_id> Hosts) {
  const std::uint64_t Own = rendezvousScore(Key, Host);
  std::size_t Rank = 0;
  for (const host_id Other : Hosts)
    Rank += rendezvousScore(Key, Other) > Own ? 1 : 0;
  return Rank;
}

} // namespace spindle
