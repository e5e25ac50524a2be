#include "LibRuntime/periodic_tasks.h"

#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

// Long pauses are divided, so that stop() does not wait for their end.
static constexpr milliseconds LongestSleep{1'000};

void periodic_tasks::repeat(std::string Name, milliseconds Pause,
                            std::function<void()> Work) {
  repeatVarying(std::move(Name), [Pause, Work = std::move(Work)] {
    Work();
    return Pause;
  });
}

void periodic_tasks::repeatVarying(std::string Name,
                                   std::function<milliseconds()> Work) {
  // A task that failed is run again after this, whatever its usual pause.
  static constexpr milliseconds PauseAfterFailure{500};
  ++Running;
  Runtime.spawn([this, Name = std::move(Name), Work = std::move(Work)] {
    while (!Stopping.load()) {
      milliseconds Pause{0};
      try {
        Pause = Work();
      } catch (const std::exception &Error) {
        // NOTE: Set here and not before the call: g++ 12 drops the earlier
        // store at -O2.
        Pause = PauseAfterFailure;
        logEvent(log_event::PeriodicTaskFailed,
                 {{"task", Name}, {"reason", Error.what()}});
      }
      while (Pause.count() > 0 && !Stopping.load()) {
        const milliseconds Step = std::min(Pause, LongestSleep);
        sleepFor(Step);
        Pause -= Step;
      }
    }
    --Running;
  });
}

void periodic_tasks::stop() {
  Stopping.store(true);
  while (Running.load() > 0)
    sleepFor(milliseconds(1));
}

} // namespace spindle
