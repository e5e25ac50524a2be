#ifndef PARSLEYSPINDLE_LIBHTTP_CLIENT_CONNECTION_H
#define PARSLEYSPINDLE_LIBHTTP_CLIENT_CONNECTION_H

#include "LibCore/runtime_clock.h"
#include "LibHTTP/beast_support.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace spindle {

/// A connection to a server, used by the fibers of one thread.
struct client_connection {
  client_connection(boost::asio::io_context &Loop, const endpoint &Peer)
      : Stream(Loop), Peer(Peer) {}

  /// The parser keeps a head, or the line before a chunk, in the buffer until
  /// it is complete, however long it gets.
  static constexpr std::size_t MaxBufferBytes = 128 * 1024;

  /// Numbers the connections of a client from 1.
  std::uint64_t Number = 0;
  tcp_stream Stream;
  boost::beast::flat_buffer Buffer{MaxBufferBytes};
  endpoint Peer;
  /// How often the peer had been suspected when the connection was opened.
  std::uint64_t SuspicionCount = 0;
  time_point IdleSince;
  /// How long it lay idle before this use; none at its first use.
  std::optional<milliseconds> IdleBefore;
  /// How long it may lie idle before its server closes it.
  milliseconds MostIdle{0};
};

using client_connection_pointer = std::shared_ptr<client_connection>;

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_CLIENT_CONNECTION_H
