#ifndef PARSLEYSPINDLE_LIBRUNTIME_CANCELLATION_H
#define PARSLEYSPINDLE_LIBRUNTIME_CANCELLATION_H

#include <functional>
#include <mutex>
#include <optional>

#include "LibCore/result_code.h"

namespace spindle {

/// Ends a request early, as when its caller has left or its key is withdrawn.
/// Thread-safe in every method.
class cancellation {
public:
  /// Ends the work for \p Reason. Only the first reason counts. Runs the hook
  /// that is set, on the calling thread.
  void cancel(result_code Reason);
  /// Why the work was ended, if it was.
  std::optional<result_code> reason() const;
  /// Sets what cancel() runs; replaces the hook set before. An empty function
  /// clears it, and a hook that is running has then returned. The hook runs
  /// at once if the work was ended already. It must not block nor call this
  /// object.
  void setHook(std::function<void()> NewHook);

private:
  mutable std::mutex Mutex;
  std::optional<result_code> Reason;
  std::function<void()> Hook;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_CANCELLATION_H
