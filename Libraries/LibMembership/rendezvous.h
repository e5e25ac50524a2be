#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H

#include "LibCore/strong_id.h"

#include <cstdint>
#include <span>

namespace spindle {

/// Returns the rendezvous hashing score of \p Host for \p Key: the host with
/// the highest score is responsible for the key. All hosts compute the same
/// scores, and the departure of a host moves only its own keys. Thread-safe.
std::uint64_t rendezvousScore(std::uint64_t Key, host_id Host);
/// Returns the host of \p Hosts with the highest score; a default host_id for
/// an empty list. Thread-safe.
host_id preferredHost(std::uint64_t Key, std::span<const host_id> Hosts);
/// Returns how many of \p Hosts have a higher score than \p Host. Thread-safe.
std::size_t rendezvousRank(std::uint64_t Key, host_id Host,
                           std::span<const host_id> Hosts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_RENDEZVOUS_H
