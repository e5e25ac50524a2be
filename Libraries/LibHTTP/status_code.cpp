#include "LibHTTP/status_code.h"

namespace spindle {

static constexpr int FirstInterimStatus = 100;
static constexpr int SwitchingProtocols = 101;
static constexpr int FirstFinalStatus = 200;
static constexpr int NoContent = 204;
static constexpr int NotModified = 304;
static constexpr int LastStatus = 599;

bool isInterimStatus(int Status) {
  return Status >= FirstInterimStatus && Status < FirstFinalStatus &&
         Status != SwitchingProtocols;
}

bool isFinalStatus(int Status) {
  return Status >= FirstFinalStatus && Status <= LastStatus;
}

bool isStatusWithoutBody(int Status) {
  return Status < FirstFinalStatus || Status == NoContent ||
         Status == NotModified;
}

} // namespace spindle
