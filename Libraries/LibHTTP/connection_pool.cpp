#include "LibHTTP/connection_pool.h"

#include <algorithm>

namespace spindle {

client_connection_pointer
connection_pool::takeLast(const endpoint &Peer,
                          std::span<const std::uint64_t> Avoided) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Idle.find({&currentIoContext(), Peer});
  if (Found == Idle.end())
    return nullptr;
  idle_list &List = Found->second;
  const auto Last =
      std::find_if(List.rbegin(), List.rend(), [&](const auto &Connection) {
        return std::find(Avoided.begin(), Avoided.end(), Connection->Number) ==
               Avoided.end();
      });
  if (Last == List.rend())
    return nullptr;
  client_connection_pointer Connection = std::move(*Last);
  List.erase(std::next(Last).base());
  return Connection;
}

bool connection_pool::usable(client_connection &Connection,
                             milliseconds MaxIdle) {
  const milliseconds Idle = std::chrono::duration_cast<milliseconds>(
      boot_clock::now() - Connection.IdleSince);
  Connection.IdleBefore = Idle;
  const bool Expired = Idle > std::min(Connection.MostIdle, MaxIdle);
  const bool Alive = peek(Connection.Stream) == socket_peek::Quiet;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Suspect =
      SuspicionCounts[Connection.Peer] != Connection.SuspicionCount;
  if (!Expired && Alive && !Suspect) {
    ++Counts.Reused;
    return true;
  }
  ++Counts.Discarded;
  return false;
}

client_connection_pointer
connection_pool::take(const endpoint &Peer, milliseconds MaxIdle,
                      std::span<const std::uint64_t> Avoided) {
  while (client_connection_pointer Connection = takeLast(Peer, Avoided))
    if (usable(*Connection, MaxIdle))
      return Connection;
  return nullptr;
}

client_connection_pointer connection_pool::make(const endpoint &Peer) {
  client_connection_pointer Connection =
      std::make_shared<client_connection>(currentIoContext(), Peer);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Connection->SuspicionCount = SuspicionCounts[Peer];
  Connection->Number = ++Counts.Opened;
  return Connection;
}

void connection_pool::giveBack(client_connection_pointer Connection) {
  Connection->IdleSince = boot_clock::now();
  Connection->Stream.expires_never();
  const std::lock_guard<std::mutex> Lock(Mutex);
  idle_list &List = Idle[{&currentIoContext(), Connection->Peer}];
  if (List.size() < MostIdle)
    List.push_back(std::move(Connection));
}

void connection_pool::suspect(const endpoint &Peer) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++SuspicionCounts[Peer];
}

http_client_counts connection_pool::counts() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Counts;
}

} // namespace spindle
