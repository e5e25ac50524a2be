#include "LibHTTP/read_timeout.h"

namespace spindle {

read_timeout::read_timeout(tcp_stream &Stream, milliseconds Limit)
    : Timer(Stream.get_executor(), Limit),
      Active(std::make_shared<bool>(true)) {
  Timer.async_wait([&Stream, Active = Active](boost::system::error_code Error) {
    if (Error || !*Active)
      return;
    boost::system::error_code Ignored;
    Stream.socket().cancel(Ignored);
  });
}

read_timeout::~read_timeout() { *Active = false; }

} // namespace spindle
