#ifndef PARSLEYSPINDLE_LIBRUNTIME_FIBER_RUNTIME_H
#define PARSLEYSPINDLE_LIBRUNTIME_FIBER_RUNTIME_H

#include "LibCore/runtime_clock.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace spindle {

/// Several threads, each of which runs fibers and its own I/O event loop. A
/// fiber stays on the thread that it was started on, so what only one
/// thread's fibers touch needs no lock.
class fiber_runtime {
public:
  /// Starts \p ThreadCount threads.
  /// Precondition: \p ThreadCount is at least 1.
  explicit fiber_runtime(std::size_t ThreadCount);
  /// Stops the threads. Precondition: all fibers have ended, or wait only for
  /// I/O or timers; such waits end with an error.
  ~fiber_runtime();
  fiber_runtime(const fiber_runtime &) = delete;
  fiber_runtime &operator=(const fiber_runtime &) = delete;

  std::size_t threadCount() const;
  /// Starts a fiber on the next thread in turn. Thread-safe. An exception that
  /// escapes \p Work ends only the fiber; it is logged under \p Name and
  /// counted.
  void spawn(std::function<void()> Work, const char *Name = "work");
  /// As spawn(), on thread \p Index.
  /// Precondition: \p Index is less than threadCount(). Thread-safe.
  void spawnOn(std::size_t Index, std::function<void()> Work,
               const char *Name = "work");
  /// Runs \p Work in a fiber and waits for its end; rethrows what it throws.
  /// Precondition: the caller is not one of the runtime's threads.
  void runBlocking(std::function<void()> Work);
  /// The event loop of thread \p Index. Thread-safe.
  boost::asio::io_context &ioContext(std::size_t Index);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// How many fibers of this process an exception has ended. Thread-safe.
std::size_t failedFibers();
/// Returns whether the caller runs on a thread of a fiber_runtime.
bool onRuntimeThread();
/// The event loop of the calling runtime thread.
/// Precondition: onRuntimeThread().
boost::asio::io_context &currentIoContext();
/// The calling thread's index. Precondition: onRuntimeThread().
std::size_t currentThreadIndex();
/// Suspends the calling fiber (or plain thread) for \p Duration of real time.
void sleepFor(nanoseconds Duration);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_FIBER_RUNTIME_H
