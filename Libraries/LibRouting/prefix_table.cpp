#include "LibRouting/prefix_table.h"

#include <algorithm>

namespace spindle {

static std::array<prefix_site, prefix_table::Ways> &
bucketOf(prefix_table &Table, std::uint64_t Prefix) {
  return Table.Sites[Prefix % prefix_table::Buckets];
}

static bool names(const prefix_site &Site, std::uint64_t Prefix,
                  std::uint32_t Engine) {
  return Site.Prefix == Prefix && Site.Engine == Engine;
}

void notePrefix(prefix_table &Table, std::uint64_t Prefix, std::uint32_t Engine,
                time_point Now) {
  if (Prefix == 0)
    return;
  prefix_site *Oldest = nullptr;
  for (prefix_site &Site : bucketOf(Table, Prefix)) {
    if (names(Site, Prefix, Engine)) {
      Site.Seen = std::max(Site.Seen, Now);
      return;
    }
    if (Oldest == nullptr || Site.Seen < Oldest->Seen)
      Oldest = &Site;
  }
  *Oldest = {Prefix, Engine, Now};
}

void forgetPrefix(prefix_table &Table, std::uint64_t Prefix,
                  std::uint32_t Engine) {
  for (prefix_site &Site : bucketOf(Table, Prefix))
    if (names(Site, Prefix, Engine))
      Site = {};
}

bool hasPrefix(const prefix_table &Table, std::uint64_t Prefix,
               std::uint32_t Engine, time_point Now) {
  if (Prefix == 0)
    return false;
  for (const prefix_site &Site : Table.Sites[Prefix % prefix_table::Buckets])
    if (names(Site, Prefix, Engine) && Now - Site.Seen < Table.Lifetime)
      return true;
  return false;
}

} // namespace spindle
