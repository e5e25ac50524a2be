#include "LibRuntime/event_loop_scheduler.h"

#include <boost/asio/post.hpp>

namespace spindle {

void event_loop_scheduler::awakened(boost::fibers::context *Context) noexcept {
  Context->ready_link(Ready);
}

boost::fibers::context *event_loop_scheduler::pick_next() noexcept {
  // The dispatcher has one turn in each round of the ready fibers. Handlers
  // run on it alone: a handler must not wake the fiber that it runs on.
  const boost::fibers::context *const Active = boost::fibers::context::active();
  if (Active->is_context(boost::fibers::type::dispatcher_context))
    Loop.poll();
  if (Ready.empty())
    return nullptr;
  boost::fibers::context *const Next = &Ready.front();
  Ready.pop_front();
  return Next;
}

bool event_loop_scheduler::has_ready_fibers() const noexcept {
  return !Ready.empty();
}

void event_loop_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point &Until) noexcept {
  // What notify() posted may have been consumed by the poll in pick_next(),
  // after the scheduler had checked for fibers woken by other threads.
  if (Notified.exchange(false)) {
    Loop.poll();
    return;
  }
  // Handlers that run here only mark fibers as ready.
  if (Until == std::chrono::steady_clock::time_point::max())
    Loop.run_one();
  else
    Loop.run_one_until(Until);
  Loop.poll();
}

void event_loop_scheduler::notify() noexcept {
  Notified.store(true);
  boost::asio::post(Loop, [] {});
}

} // namespace spindle
