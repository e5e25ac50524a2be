#ifndef PARSLEYSPINDLE_LIBHTTP_CONNECTION_LIMIT_H
#define PARSLEYSPINDLE_LIBHTTP_CONNECTION_LIMIT_H

#include <cstddef>

namespace spindle {

/// Number of descriptors that this process may have open, as the kernel limits
/// it now. Thread-safe.
std::size_t descriptorLimit();

/// Returns how many callers may be connected to a process that may have
/// \p Descriptors open, at least 1.
///
/// Answers the load pattern in which the callers of a whole fleet come to one
/// process: without a bound they take its last descriptor, and nothing is left
/// for the connections to upstreams, to other hosts and to the store, nor for
/// metrics and readiness. Each caller may need a connection to an upstream
/// beside its own; the others have a reserve. Thread-safe.
std::size_t callerConnectionLimit(std::size_t Descriptors);

/// Whether a server with \p Open of \p Limit connections closes each after its
/// next response, so that idle ones don't keep new callers out. Thread-safe.
bool isCrowded(std::size_t Open, std::size_t Limit);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_CONNECTION_LIMIT_H
