#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H

#include "LibCore/strong_id.h"

#include <cstdint>
#include <span>

namespace spindle {

/// How strongly \p Host is preferred for what \p Key stands for: the host
/// with the highest score has it. Every host computes the same, and the
/// departure of a host moves only what it had. Thread-safe.
std::uint64_t rendezvousScore(std::uint64_t Key, host_id Host);
/// Returns the preferred of \p Hosts; none for an empty list. Thread-safe.
host_id preferredHost(std::uint64_t Key, std::span<const host_id> Hosts);
/// Counts those of \p Hosts that are preferred to \p Host. Thread-safe.
std::size_t rendezvousRank(std::uint64_t Key, host_id Host,
                           std::span<const host_id> Hosts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H
