#ifndef PARSLEYSPINDLE_LIBHTTP_READ_TIMEOUT_H
#define PARSLEYSPINDLE_LIBHTTP_READ_TIMEOUT_H

#include "LibCore/runtime_clock.h"
#include "LibHTTP/beast_support.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace spindle {

/// Cancels a stream's operations after a time. Unlike the stream's own timer it
/// doesn't close the stream, and a read that has got something isn't turned
/// into a timeout. Used on the thread of the stream's event loop.
class read_timeout {
public:
  /// \p Stream must outlive the object.
  read_timeout(tcp_stream &Stream, milliseconds Limit);
  /// From now on nothing is cancelled.
  ~read_timeout();
  read_timeout(const read_timeout &) = delete;
  read_timeout &operator=(const read_timeout &) = delete;

private:
  boost::asio::steady_timer Timer;
  /// Outlives the object in a handler that is queued already.
  const std::shared_ptr<bool> Active;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_READ_TIMEOUT_H
