#ifndef PARSLEYSPINDLE_LIBROUTING_PREFIX_TABLE_H
#define PARSLEYSPINDLE_LIBROUTING_PREFIX_TABLE_H

#include "LibCore/runtime_clock.h"

#include <array>
#include <cstdint>
#include <vector>

namespace spindle {

/// An engine whose cache probably holds a prefix.
struct prefix_site {
  std::uint64_t Prefix = 0;
  std::uint32_t Engine = 0;
  time_point LastSeen;
};

/// Which engines probably have which prompt prefixes cached: a set-associative
/// table of fixed size, in which a new entry replaces the oldest of its bucket.
/// Entries expire because engines report evictions late and incompletely.
struct prefix_table {
  static constexpr std::size_t Buckets = 4'096;
  static constexpr std::size_t Ways = 4;
  seconds Lifetime{60};
  std::vector<std::array<prefix_site, Ways>> Sites =
      std::vector<std::array<prefix_site, Ways>>(Buckets);
};

/// The functions below are not thread-safe.

/// Records that \p Engine has just run a prompt with \p Prefix, or reported it
/// as stored. A prefix of 0 means none and is ignored.
void notePrefix(prefix_table &Table, std::uint64_t Prefix, std::uint32_t Engine,
                time_point Now);
/// Records that the engine evicted the prefix.
void erasePrefix(prefix_table &Table, std::uint64_t Prefix,
                 std::uint32_t Engine);
/// Whether \p Engine probably has \p Prefix cached.
bool hasPrefix(const prefix_table &Table, std::uint64_t Prefix,
               std::uint32_t Engine, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_PREFIX_TABLE_H
