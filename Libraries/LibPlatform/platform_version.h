#ifndef PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_VERSION_H
#define PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_VERSION_H

#include <cstdint>
#include <optional>

namespace spindle {

// A platform that is restored from a copy goes back to an earlier revision and
// gives out the revisions after it again. It then begins a new era, so that a
// revision says something only together with its era. A version holds both in
// one number, the era in the upper bits: versions grow over the eras, and no
// number stands for two states. A platform that states no era has era 0, and
// its versions are its revisions.

/// The bits of a version that hold the revision.
inline constexpr unsigned RevisionBits = 40;
inline constexpr std::uint64_t MaxRevision =
    (std::uint64_t{1} << RevisionBits) - 1;
/// Bounded so that every JSON reader can hold a version, which is also a
/// fencing token: 53 bits.
inline constexpr std::uint64_t MaxEra = (std::uint64_t{1} << 13U) - 1;

/// The version of \p Revision in \p Era; none if either is out of range.
/// Thread-safe.
constexpr std::optional<std::uint64_t> makeVersion(std::uint64_t Era,
                                                   std::uint64_t Revision) {
  if (Era > MaxEra || Revision > MaxRevision)
    return std::nullopt;
  return (Era << RevisionBits) | Revision;
}

/// The era of a version. Thread-safe.
constexpr std::uint64_t eraOf(std::uint64_t Version) {
  return Version >> RevisionBits;
}

/// The revision that the platform itself uses for a version. Thread-safe.
constexpr std::uint64_t revisionOf(std::uint64_t Version) {
  return Version & MaxRevision;
}

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_VERSION_H
