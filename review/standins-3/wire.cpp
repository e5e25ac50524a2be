#include "wire.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

void sleepFor(milliseconds Time) { std::this_thread::sleep_for(Time); }

static bool sameName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char First, unsigned char Second) {
                      return std::tolower(First) == std::tolower(Second);
                    });
}

std::string http_message::find(std::string_view Name) const {
  for (const header_field &Field : Fields)
    if (sameName(Field.Name, Name))
      return Field.Value;
  return {};
}

static std::string wordOf(const std::string &Line, std::size_t Index) {
  std::size_t Start = 0;
  while (Index-- > 0) {
    Start = Line.find(' ', Start);
    if (Start == std::string::npos)
      return {};
    ++Start;
  }
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

std::string http_message::method() const { return wordOf(Start, 0); }
std::string http_message::target() const { return wordOf(Start, 1); }
int http_message::status() const { return std::atoi(wordOf(Start, 1).c_str()); }

static sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

static void setOption(int Descriptor, int Level, int Option) {
  const int Value = 1;
  ::setsockopt(Descriptor, Level, Option, &Value, sizeof Value);
}

bool stream_socket::connect(std::uint16_t Port) {
  close();
  Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0)
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof ReceiveBuffer);
  const sockaddr_in Address = loopback(Port);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    close();
    return false;
  }
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY);
  return true;
}

bool stream_socket::write(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

bool stream_socket::fill() {
  char Space[65'536];
  const ssize_t Count = ::recv(Descriptor, Space, sizeof Space, 0);
  if (Count <= 0)
    return false;
  Buffer.append(Space, static_cast<std::size_t>(Count));
  return true;
}

bool stream_socket::readHead(http_message &Message) {
  std::size_t End = std::string::npos;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill())
      return false;
  const std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  Message = {};
  std::size_t Start = Head.find("\r\n");
  Message.Start = Head.substr(0, Start);
  for (Start += 2; Start < Head.size();) {
    const std::size_t LineEnd = Head.find("\r\n", Start);
    const std::string Line = Head.substr(Start, LineEnd - Start);
    Start = LineEnd + 2;
    const std::size_t Colon = Line.find(':');
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.push_back({Line.substr(0, Colon), Value == std::string::npos
                                                         ? std::string()
                                                         : Line.substr(Value)});
  }
  return true;
}

bool stream_socket::readChunks(http_message &Message) {
  while (true) {
    std::size_t End = std::string::npos;
    while ((End = Buffer.find("\r\n")) == std::string::npos)
      if (!fill())
        return false;
    const std::size_t Size = std::strtoull(Buffer.c_str(), nullptr, 16);
    while (Buffer.size() < End + 2 + Size + 2)
      if (!fill())
        return false;
    Message.Body += Buffer.substr(End + 2, Size);
    Buffer.erase(0, End + 2 + Size + 2);
    if (Size == 0)
      return true;
  }
}

bool stream_socket::readBody(http_message &Message, bool IsResponse) {
  if (sameName(Message.find("Transfer-Encoding"), "chunked"))
    return readChunks(Message);
  const std::string Length = Message.find("Content-Length");
  if (Length.empty()) {
    if (!IsResponse)
      return true;
    while (fill()) {
    }
    Message.Body = std::move(Buffer);
    Buffer.clear();
    return true;
  }
  const std::size_t Size = std::strtoull(Length.c_str(), nullptr, 10);
  while (Buffer.size() < Size)
    if (!fill())
      return false;
  Message.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return true;
}

bool stream_socket::peerClosed() const {
  char Byte = 0;
  const ssize_t Count = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void stream_socket::setReadTimeout(milliseconds Time) {
  timeval Limit{};
  Limit.tv_sec = Time.count() / 1'000;
  Limit.tv_usec = Time.count() % 1'000 * 1'000;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
}

std::size_t stream_socket::takeBuffered() {
  const std::size_t Size = Buffer.size();
  Buffer.clear();
  return Size;
}

std::size_t stream_socket::readUpTo(std::size_t Bytes) {
  std::string Space(Bytes, 0);
  const ssize_t Count = ::recv(Descriptor, Space.data(), Bytes, 0);
  return Count > 0 ? static_cast<std::size_t>(Count) : 0;
}

void stream_socket::shutDown() { ::shutdown(Descriptor, SHUT_RDWR); }

void stream_socket::close() {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
  Buffer.clear();
}

tcp_server::tcp_server(handler Handler) : Handler(std::move(Handler)) {
  start();
}

tcp_server::~tcp_server() { stop(); }

void tcp_server::start() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setOption(Socket, SOL_SOCKET, SO_REUSEADDR);
  sockaddr_in Address = loopback(Port);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
          0 ||
      ::listen(Socket, 1'024) != 0)
    throw std::runtime_error("a stand-in can't listen");
  socklen_t Size = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Listener = Socket;
  Acceptor = std::thread([this, Socket] { accept(Socket); });
}

void tcp_server::accept(int Socket) {
  while (true) {
    const int Accepted = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    setOption(Accepted, IPPROTO_TCP, TCP_NODELAY);
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::unique_ptr<connection> &Connection = Connections.emplace_back(
        new connection{stream_socket(Accepted), std::thread()});
    Connection->Thread =
        std::thread([this, &Socket = Connection->Socket,
                     Number = ++LastNumber] { serve(Socket, Number); });
  }
}

void tcp_server::serve(stream_socket &Socket, std::uint64_t Number) {
  http_message Request;
  while (Socket.readHead(Request) && Handler(Socket, Request, Number)) {
  }
  Socket.shutDown();
}

void tcp_server::stop() {
  const int Socket = Listener.exchange(-1);
  if (Socket < 0)
    return;
  ::shutdown(Socket, SHUT_RDWR);
  Acceptor.join();
  ::close(Socket);
  std::list<std::unique_ptr<connection>> Ended;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Ended.swap(Connections);
  }
  for (const std::unique_ptr<connection> &Connection : Ended)
    Connection->Socket.shutDown();
  for (const std::unique_ptr<connection> &Connection : Ended)
    Connection->Thread.join();
}

static std::string fieldsText(const std::vector<header_field> &Fields) {
  std::string Text;
  for (const header_field &Field : Fields)
    Text += Field.Name + ": " + Field.Value + "\r\n";
  return Text;
}

static const char *reasonOf(int Status) {
  return Status < 300 ? "OK" : "Not OK";
}

std::string makeResponse(int Status, const std::vector<header_field> &Fields,
                         std::string_view Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " " + reasonOf(Status) +
         "\r\n" + fieldsText(Fields) +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

std::string makeRequest(const std::string &Method, const std::string &Target,
                        const std::vector<header_field> &Fields,
                        std::string_view Body) {
  std::string Text =
      Method + " " + Target + " HTTP/1.1\r\n" + fieldsText(Fields);
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + std::string(Body);
}

std::string makeChunk(std::string_view Data) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  return Size + std::string(Data) + "\r\n";
}

std::vector<std::uint16_t> findFreePorts(std::size_t Count) {
  std::vector<int> Sockets;
  std::vector<std::uint16_t> Ports;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(0);
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0)
      throw std::runtime_error("no port is free");
    socklen_t Size = sizeof Address;
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    Ports.push_back(ntohs(Address.sin_port));
    Sockets.push_back(Socket);
  }
  for (const int Socket : Sockets)
    ::close(Socket);
  return Ports;
}

} // namespace review
