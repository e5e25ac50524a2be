#include "EndToEnd/occupied_port.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace spindle {

occupied_port::occupied_port(std::uint16_t Port)
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Bound.sin_port = htons(Port);
  // Connections that have ended there must not count as a listener.
  const int Reuse = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof Reuse);
  socklen_t Size = sizeof Bound;
  sockaddr *const Generic = reinterpret_cast<sockaddr *>(&Bound);
  if (::bind(Socket, Generic, Size) != 0 || ::listen(Socket, 1) != 0 ||
      ::getsockname(Socket, Generic, &Size) != 0) {
    ::close(Socket);
    throw std::runtime_error("no port to occupy");
  }
  Address = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
}

occupied_port::~occupied_port() { ::close(Socket); }

} // namespace spindle
