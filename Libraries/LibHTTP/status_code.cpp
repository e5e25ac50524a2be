#include "LibHTTP/status_code.h"

namespace spindle {

static constexpr int FirstStatus = 100;
static constexpr int LastStatus = 599;

bool isHttpStatus(int Status) {
  return Status >= FirstStatus && Status <= LastStatus;
}

} // namespace spindle
