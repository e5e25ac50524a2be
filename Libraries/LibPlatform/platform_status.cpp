#include "LibPlatform/platform_status.h"

namespace spindle {

result_code codeOfStatus(int Status) {
  switch (Status) {
  case 404:
    return result_code::PlatformNotFound;
  case 409:
    return result_code::PlatformConflict;
  case 410:
    return result_code::PlatformTooOld;
  case 413:
    return result_code::PlatformTooLarge;
  case 429:
    return result_code::PlatformRateLimited;
  default:
    return result_code::PlatformUnavailable;
  }
}

} // namespace spindle
