#include "LibCore/runtime_clock.h"

#include <cassert>
#include <ctime>

namespace spindle {

static std::int64_t wallNanoseconds() {
  const std::chrono::system_clock::time_point Now =
      std::chrono::system_clock::now();
  return std::chrono::duration_cast<nanoseconds>(Now.time_since_epoch())
      .count();
}

boot_clock::time_point boot_clock::now() noexcept {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  return time_point(seconds(Spec.tv_sec) + nanoseconds(Spec.tv_nsec));
}

time_point runtime_clock::now() const {
  const std::int64_t Paused = PausedAt.load(std::memory_order_acquire);
  if (Paused != Running)
    return time_point(nanoseconds(Paused));
  return boot_clock::now();
}

wall_time runtime_clock::wallNow() const {
  const std::int64_t Paused = PausedAt.load(std::memory_order_acquire);
  const std::int64_t Nanoseconds =
      Paused == Running ? wallNanoseconds() : Paused + WallOffset.load();
  const nanoseconds SinceEpoch(Nanoseconds);
  return {std::chrono::duration_cast<milliseconds>(SinceEpoch).count()};
}

void runtime_clock::pause() {
  const std::int64_t Now = boot_clock::now().time_since_epoch().count();
  assert(PausedAt.load() == Running && "the clock is paused already");
  WallOffset.store(wallNanoseconds() - Now);
  PausedAt.store(Now, std::memory_order_release);
}

void runtime_clock::advance(nanoseconds Step) {
  assert(PausedAt.load() != Running && "only a paused clock is advanced");
  PausedAt.fetch_add(Step.count(), std::memory_order_acq_rel);
}

} // namespace spindle
