#ifndef PARSLEYSPINDLE_LIBHTTP_CONNECTION_POOL_H
#define PARSLEYSPINDLE_LIBHTTP_CONNECTION_POOL_H

#include "LibHTTP/client_connection.h"
#include "LibHTTP/http_client.h"

#include <map>
#include <mutex>
#include <span>
#include <vector>

namespace spindle {

/// Idle connections by event loop and peer. Thread-safe in every method.
class connection_pool {
public:
  /// \p MostIdle bounds the idle connections a thread and peer.
  explicit connection_pool(std::size_t MostIdle) : MostIdle(MostIdle) {}

  /// Takes a connection of the calling thread that looks alive, was idle for at
  /// most \p MaxIdle and has none of the numbers in \p Avoided; null if there
  /// is none. Precondition: onRuntimeThread().
  client_connection_pointer take(const endpoint &Peer, milliseconds MaxIdle,
                                 std::span<const std::uint64_t> Avoided);
  /// Opens a connection's bookkeeping; it is not connected yet.
  /// Precondition: onRuntimeThread().
  client_connection_pointer make(const endpoint &Peer);
  /// Gives back a connection whose exchange has ended properly.
  /// Precondition: called on the connection's thread.
  void giveBack(client_connection_pointer Connection);
  /// Makes every idle connection to \p Peer unusable.
  void suspect(const endpoint &Peer);
  http_client_counts counts() const;

private:
  using loop_key = const void *;
  using idle_list = std::vector<client_connection_pointer>;

  client_connection_pointer takeLast(const endpoint &Peer,
                                     std::span<const std::uint64_t> Avoided);
  bool usable(client_connection &Connection, milliseconds MaxIdle);

  const std::size_t MostIdle;
  mutable std::mutex Mutex;
  std::map<std::pair<loop_key, endpoint>, idle_list> Idle;
  std::map<endpoint, std::uint64_t> SuspicionCounts;
  http_client_counts Counts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_CONNECTION_POOL_H
