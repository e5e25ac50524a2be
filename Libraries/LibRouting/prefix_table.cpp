#include "LibRouting/prefix_table.h"

#include <algorithm>

namespace spindle {

static std::array<prefix_site, prefix_table::Ways> &
bucketOf(prefix_table &Table, std::uint64_t Prefix) {
  return Table.Sites[Prefix % prefix_table::Buckets];
}

static bool matches(const prefix_site &Site, std::uint64_t Prefix,
                    std::uint32_t Engine) {
  return Site.Prefix == Prefix && Site.Engine == Engine;
}

void notePrefix(prefix_table &Table, std::uint64_t Prefix, std::uint32_t Engine,
                time_point Now) {
  if (Prefix == 0)
    return;
  prefix_site *Oldest = nullptr;
  for (prefix_site &Site : bucketOf(Table, Prefix)) {
    if (matches(Site, Prefix, Engine)) {
      Site.LastSeen = std::max(Site.LastSeen, Now);
      return;
    }
    if (Oldest == nullptr || Site.LastSeen < Oldest->LastSeen)
      Oldest = &Site;
  }
  *Oldest = {Prefix, Engine, Now};
}

void erasePrefix(prefix_table &Table, std::uint64_t Prefix,
                 std::uint32_t Engine) {
  for (prefix_site &Site : bucketOf(Table, Prefix))
    if (matches(Site, Prefix, Engine))
      Site = {};
}

bool hasPrefix(const prefix_table &Table, std::uint64_t Prefix,
               std::uint32_t Engine, time_point Now) {
  if (Prefix == 0)
    return false;
  for (const prefix_site &Site : Table.Sites[Prefix % prefix_table::Buckets])
    if (matches(Site, Prefix, Engine) && Now - Site.LastSeen < Table.Lifetime)
      return true;
  return false;
}

} // namespace spindle
