#include "LibRuntime/cancellation.h"

namespace spindle {

void cancellation::cancel(result_code NewReason) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Reason)
    return;
  Reason = NewReason;
  if (Hook)
    Hook();
}

std::optional<result_code> cancellation::reason() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Reason;
}

void cancellation::setHook(std::function<void()> NewHook) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Hook = std::move(NewHook);
  if (Reason && Hook)
    Hook();
}

} // namespace spindle
