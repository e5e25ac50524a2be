#include "LibCore/strong_id.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace spindle {

std::uint64_t hashName(std::string_view Name) {
  const std::uint64_t Hash = XXH3_64bits(Name.data(), Name.size());
  return Hash == 0 ? 1 : Hash;
}

} // namespace spindle
