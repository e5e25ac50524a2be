#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_NET_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_NET_H

// Blocking HTTP/1.1 over loopback sockets, one thread a connection: enough for
// the stand-ins of the review, and with access to the raw bytes.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline void pauseFor(milliseconds Time) { std::this_thread::sleep_for(Time); }

inline std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

struct message {
  std::string StartLine;
  std::string Method;
  std::string Target;
  int Status = 0;
  /// By lower-case name; the last one counts.
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(lowerCase(Name));
    return Found == Fields.end() ? std::string() : Found->second;
  }
};

/// One connection with a read buffer.
class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Count =
          ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }

  /// Waits for more bytes; false at the end, on an error or after \p Limit.
  bool fill(milliseconds Limit) {
    pollfd Poll{Socket, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(Limit.count())) <= 0)
      return false;
    char Space[16384];
    const ssize_t Count = ::recv(Socket, Space, sizeof Space, 0);
    if (Count <= 0) {
      WasReset = Count < 0;
      IsAtEnd = true;
      return false;
    }
    Buffer.append(Space, static_cast<std::size_t>(Count));
    return true;
  }

  /// Whether the peer has closed its side.
  bool peerGone() {
    char Byte = 0;
    const ssize_t Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool readLine(std::string &Line, milliseconds Limit) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n")) == std::string::npos)
      if (!fill(Limit))
        return false;
    Line = Buffer.substr(0, End);
    Buffer.erase(0, End + 2);
    return true;
  }

  bool readBytes(std::string &Into, std::size_t Count, milliseconds Limit) {
    while (Buffer.size() < Count)
      if (!fill(Limit))
        return false;
    Into.append(Buffer, 0, Count);
    Buffer.erase(0, Count);
    return true;
  }

  /// Reads a start line and fields.
  bool readHead(message &Message, milliseconds Limit) {
    if (!readLine(Message.StartLine, Limit))
      return false;
    std::string Line;
    while (true) {
      if (!readLine(Line, Limit))
        return false;
      if (Line.empty())
        break;
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        return false;
      std::size_t Start = Colon + 1;
      while (Start < Line.size() && Line[Start] == ' ')
        ++Start;
      Message.Fields[lowerCase(Line.substr(0, Colon))] = Line.substr(Start);
    }
    const std::size_t First = Message.StartLine.find(' ');
    const std::size_t Second = Message.StartLine.find(' ', First + 1);
    Message.Method = Message.StartLine.substr(0, First);
    Message.Target = Message.StartLine.substr(First + 1, Second - First - 1);
    if (Message.StartLine.starts_with("HTTP/"))
      Message.Status = std::atoi(Message.Target.c_str());
    return true;
  }

  /// Reads a body with a length or in chunks; false if it ends early.
  bool readBody(message &Message, milliseconds Limit) {
    if (lowerCase(Message.field("Transfer-Encoding")) == "chunked") {
      std::string Line;
      while (true) {
        if (!readLine(Line, Limit))
          return false;
        const std::size_t Count = std::strtoul(Line.c_str(), nullptr, 16);
        if (!readBytes(Message.Body, Count, Limit) || !readLine(Line, Limit))
          return false;
        if (Count == 0)
          return true;
      }
    }
    const std::string Length = Message.field("Content-Length");
    return Length.empty() ||
           readBytes(Message.Body, std::strtoul(Length.c_str(), nullptr, 10),
                     Limit);
  }

  bool wasReset() const { return WasReset; }
  bool isAtEnd() const { return IsAtEnd; }

  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
  }

private:
  int Socket;
  std::string Buffer;
  bool WasReset = false;
  bool IsAtEnd = false;
};

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

inline std::uint16_t portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A socket bound to a free port, or to \p Port.
inline int bindLoopback(std::uint16_t Port = 0) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = loopback(Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) == 0)
    return Socket;
  ::close(Socket);
  throw std::runtime_error("the port is not free");
}

/// A free port below those that the kernel gives to outgoing connections, so
/// that it is still free when a process listens there.
inline std::uint16_t freePort() {
  static constexpr std::uint16_t First = 12'000;
  static constexpr std::uint16_t Count = 18'000;
  static std::random_device Random;
  while (true) {
    const std::uint16_t Port =
        static_cast<std::uint16_t>(First + Random() % Count);
    try {
      ::close(bindLoopback(Port));
      return Port;
    } catch (const std::runtime_error &) {
      continue;
    }
  }
}

/// Returns -1 if nobody listens, or the connection is not established within a
/// second, which is the time that clients allow.
inline int dial(std::uint16_t Port) {
  static constexpr int LimitMilliseconds = 1'000;
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Address = loopback(Port);
  const bool IsAtOnce =
      ::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) == 0;
  pollfd Poll{Socket, POLLOUT, 0};
  int Error = 0;
  socklen_t Size = sizeof Error;
  const bool IsOpen =
      IsAtOnce ||
      (errno == EINPROGRESS && ::poll(&Poll, 1, LimitMilliseconds) == 1 &&
       ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
       Error == 0);
  if (IsOpen) {
    ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
    return Socket;
  }
  ::close(Socket);
  return -1;
}

/// Calls the handler for each request until it returns false.
class server {
public:
  using handler = std::function<bool(connection &, message &)>;

  explicit server(handler Handler)
      : Handler(std::move(Handler)), Listener(bindLoopback()),
        Port(portOf(Listener)) {
    ::listen(Listener, 512);
    std::thread([this] { accept(); }).detach();
  }

  std::uint16_t port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  void accept() {
    while (true) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  void serve(int Socket) {
    connection Peer(Socket);
    while (true) {
      message Request;
      if (!Peer.readHead(Request, milliseconds(60'000)) ||
          !Peer.readBody(Request, milliseconds(10'000)) ||
          !Handler(Peer, Request))
        return;
    }
  }

  const handler Handler;
  const int Listener;
  const std::uint16_t Port;
};

inline std::string response(int Status, const std::string &Fields,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string jsonResponse(int Status, const std::string &Body) {
  return response(Status, "Content-Type: application/json\r\n", Body);
}

inline std::string chunk(const std::string &Bytes) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_NET_H
