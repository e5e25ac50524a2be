#ifndef PARSLEYSPINDLE_LIBCORE_RUNTIME_CLOCK_H
#define PARSLEYSPINDLE_LIBCORE_RUNTIME_CLOCK_H

#include <atomic>
#include <chrono>
#include <cstdint>

namespace spindle {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// The monotonic clock that leases are checked against. It counts through a
/// suspension of the machine, which std::chrono::steady_clock does not.
struct boot_clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<boot_clock, duration>;
  static constexpr bool is_steady = true;

  /// Returns the time since the machine's start. Thread-safe.
  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// Milliseconds since the Unix epoch, for times that other hosts read.
/// Never used to decide whether a lease holds.
struct wall_time {
  std::int64_t Milliseconds = 0;
  auto operator<=>(const wall_time &) const = default;
};

/// The clock of the runtime. Every library that waits or records times gets
/// it as an argument. A test pauses it and advances it by hand.
///
/// Thread-safe in every method.
class runtime_clock {
public:
  /// Returns the current monotonic time, or the paused one.
  time_point now() const;
  /// Returns the current wall time; it advances with now() while paused.
  wall_time wallNow() const;

  /// Stops the clock at the current time.
  /// Precondition: the clock is not paused.
  void pause();
  /// Moves a paused clock forward.
  /// Precondition: the clock is paused and \p Step is not negative.
  void advance(nanoseconds Step);

private:
  static constexpr std::int64_t Running = -1;
  std::atomic<std::int64_t> PausedAt{Running};
  std::atomic<std::int64_t> WallOffset{0};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_RUNTIME_CLOCK_H
