#ifndef PARSLEYSPINDLE_LIBRUNTIME_AWAIT_IO_H
#define PARSLEYSPINDLE_LIBRUNTIME_AWAIT_IO_H

#include <cstddef>

#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <boost/system/error_code.hpp>

namespace spindle {

/// How an I/O operation ended.
struct io_result {
  boost::system::error_code Error;
  std::size_t Bytes = 0;
};

/// Starts an operation of the calling thread's event loop and suspends the
/// fiber until it has ended. \p Start gets the completion handler, which
/// takes an error code and, optionally, a size.
/// Precondition: the caller is a fiber on a thread of a fiber_runtime, and
/// the operation's object belongs to that thread's event loop.
template <typename start> io_result awaitIo(start Start) {
  io_result Result;
  boost::fibers::context *const Self = boost::fibers::context::active();
  // The handler runs on this thread's dispatcher, hence after suspend().
  Start(
      [&Result, Self](boost::system::error_code Error, std::size_t Bytes = 0) {
        Result = {Error, Bytes};
        Self->get_scheduler()->schedule(Self);
      });
  Self->suspend();
  return Result;
}

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_AWAIT_IO_H
