#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_NET_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_NET_H

// Blocking sockets and HTTP/1.1 messages for the stand-ins of the second
// review. Every address is a loopback address.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

/// Seconds since the first call, on the steady clock.
inline double now() {
  using clock = std::chrono::steady_clock;
  static const clock::time_point Start = clock::now();
  return std::chrono::duration<double>(clock::now() - Start).count();
}

inline void sleepSeconds(double Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Time));
}

inline void sleepUntil(double Time) { sleepSeconds(Time - now()); }

inline sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Listens on \p Port, or on a free port if it is 0. Returns -1 on failure.
inline int listenOn(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = loopback(Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Socket, 256) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

inline int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A port that is free now.
inline int freePort() {
  const int Socket = listenOn(0);
  const int Port = portOf(Socket);
  ::close(Socket);
  return Port;
}

/// Returns -1 if the connection is refused.
inline int connectTo(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return -1;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Socket;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Whether the peer has closed the connection.
inline bool isClosed(int Socket) {
  char Byte = 0;
  const ssize_t Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

using header_fields = std::vector<std::pair<std::string, std::string>>;

struct message {
  /// "POST /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string StartLine;
  header_fields Fields;
  std::string Body;
  /// Whether the body ended as its length or its chunks say.
  bool Complete = false;

  std::string field(const char *Name) const {
    for (const auto &[Key, Value] : Fields)
      if (::strcasecmp(Key.c_str(), Name) == 0)
        return Value;
    return {};
  }
  std::string word(int Index) const {
    std::size_t Start = 0;
    for (; Index > 0; --Index) {
      Start = StartLine.find(' ', Start);
      if (Start == std::string::npos)
        return {};
      ++Start;
    }
    return StartLine.substr(Start, StartLine.find(' ', Start) - Start);
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads messages from a connection.
class reader {
public:
  explicit reader(int Socket) : Socket(Socket) {}

  /// Reads a head; returns false if the connection ends before one is whole.
  bool readHead(message &Message) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more())
        return false;
    Message = message{};
    std::size_t Line = 0;
    while (Line < End) {
      const std::size_t Next = std::min(Buffer.find("\r\n", Line), End);
      const std::string Text = Buffer.substr(Line, Next - Line);
      const std::size_t Colon = Text.find(':');
      if (Line == 0) {
        Message.StartLine = Text;
      } else if (Colon != std::string::npos) {
        const std::size_t Value = Text.find_first_not_of(' ', Colon + 1);
        Message.Fields.emplace_back(
            Text.substr(0, Colon),
            Value == std::string::npos ? std::string() : Text.substr(Value));
      }
      Line = Next + 2;
    }
    Buffer.erase(0, End + 4);
    return true;
  }

  /// Reads the body that follows \p Message's head.
  void readBody(message &Message) {
    if (Message.field("Transfer-Encoding") == "chunked") {
      Message.Complete = readChunks(Message);
      return;
    }
    const std::size_t Length =
        std::strtoul(Message.field("Content-Length").c_str(), nullptr, 10);
    while (Buffer.size() < Length && more()) {
    }
    Message.Complete = Buffer.size() >= Length;
    Message.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Message.Body.size());
  }

  bool read(message &Message) {
    if (!readHead(Message))
      return false;
    readBody(Message);
    return true;
  }

private:
  bool more() {
    char Space[16384];
    const ssize_t Count = ::recv(Socket, Space, sizeof Space, 0);
    if (Count <= 0)
      return false;
    Buffer.append(Space, static_cast<std::size_t>(Count));
    return true;
  }

  bool readChunks(message &Message) {
    while (true) {
      std::size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!more())
          return false;
      const std::size_t Size = std::strtoul(Buffer.c_str(), nullptr, 16);
      Buffer.erase(0, End + 2);
      while (Buffer.size() < Size + 2)
        if (!more()) {
          Message.Body += Buffer.substr(0, Size);
          return false;
        }
      Message.Body += Buffer.substr(0, Size);
      Buffer.erase(0, Size + 2);
      if (Size == 0)
        return true;
    }
  }

  int Socket;
  std::string Buffer;
};

/// A message with a Content-Length.
inline std::string format(const std::string &StartLine,
                          const header_fields &Fields,
                          const std::string &Body) {
  std::string Text = StartLine + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Text + Body;
}

inline std::string chunk(const std::string &Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

/// Accepts connections in a thread, and serves each in a thread of its own.
inline void serveConnections(int Listener, std::function<void(int)> Serve) {
  std::thread([Listener, Serve = std::move(Serve)] {
    while (true) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([Serve, Socket] {
        Serve(Socket);
        ::close(Socket);
      }).detach();
    }
  }).detach();
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_NET_H
