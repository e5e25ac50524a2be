#ifndef PARSLEYSPINDLE_LIBRUNTIME_PERIODIC_TASKS_H
#define PARSLEYSPINDLE_LIBRUNTIME_PERIODIC_TASKS_H

#include "LibRuntime/fiber_runtime.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>

namespace spindle {

/// Work that a host repeats for as long as it runs, each task in a fiber of
/// its own.
class periodic_tasks {
public:
  /// \p Runtime must outlive the object.
  explicit periodic_tasks(fiber_runtime &Runtime) : Runtime(Runtime) {}
  /// Stops. Precondition: the caller is not on a runtime thread.
  ~periodic_tasks() { stop(); }
  periodic_tasks(const periodic_tasks &) = delete;
  periodic_tasks &operator=(const periodic_tasks &) = delete;

  /// Runs \p Work again and again, with pauses of \p Pause. What it throws is
  /// logged under \p Name and does not end the task.
  void repeat(std::string Name, milliseconds Pause, std::function<void()> Work);
  /// As repeat(), with the pause that \p Work returns.
  void repeatVarying(std::string Name, std::function<milliseconds()> Work);
  /// Ends all tasks and waits until those that run have returned.
  /// Precondition: the caller is not on a runtime thread.
  void stop();

private:
  fiber_runtime &Runtime;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Running{0};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_PERIODIC_TASKS_H
