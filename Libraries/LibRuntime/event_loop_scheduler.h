#ifndef PARSLEYSPINDLE_LIBRUNTIME_EVENT_LOOP_SCHEDULER_H
#define PARSLEYSPINDLE_LIBRUNTIME_EVENT_LOOP_SCHEDULER_H

#include <atomic>
#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace spindle {

/// Runs a thread's ready fibers in turn and its event loop between them, so
/// that a fiber that waits for I/O is woken without a change of thread.
class event_loop_scheduler : public boost::fibers::algo::algorithm {
public:
  /// \p Loop must outlive the scheduler and be run by it alone.
  explicit event_loop_scheduler(boost::asio::io_context &Loop) : Loop(Loop) {}

  void awakened(boost::fibers::context *Context) noexcept override;
  boost::fibers::context *pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point &Until) noexcept override;
  void notify() noexcept override;

private:
  boost::asio::io_context &Loop;
  /// Set when another thread has woken a fiber since suspend_until() last ran.
  std::atomic<bool> Notified{false};
  boost::fibers::scheduler::ready_queue_type Ready;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_EVENT_LOOP_SCHEDULER_H
