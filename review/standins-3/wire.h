#ifndef REVIEW_STANDINS_3_WIRE_H
#define REVIEW_STANDINS_3_WIRE_H

// HTTP/1.1 over plain sockets, for the stand-ins and clients of the cases. It
// is written for these cases alone and shares no code with the daemon.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

void sleepFor(milliseconds Time);

struct header_field {
  std::string Name;
  std::string Value;
};

/// The head and body of a request or a response.
struct http_message {
  /// The first line, without its end.
  std::string Start;
  std::vector<header_field> Fields;
  std::string Body;

  /// The value of the first field of that name; empty if there is none.
  std::string find(std::string_view Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A connected socket with what was received and not read yet.
class stream_socket {
public:
  stream_socket() = default;
  explicit stream_socket(int Descriptor) : Descriptor(Descriptor) {}
  ~stream_socket() { close(); }
  stream_socket(const stream_socket &) = delete;
  stream_socket &operator=(const stream_socket &) = delete;

  /// Connects to a port of 127.0.0.1.
  bool connect(std::uint16_t Port);
  bool isOpen() const { return Descriptor >= 0; }
  bool write(std::string_view Bytes);
  /// Reads the head of a message; false at the end of the connection.
  bool readHead(http_message &Message);
  /// Reads the body of a request, or of a response to a request that was not
  /// HEAD. Returns false if it ended early.
  bool readBody(http_message &Message, bool IsResponse);
  /// Reads some bytes into the buffer; returns false at the end.
  bool fill();
  /// Whether the peer has closed its side; never blocks.
  bool peerClosed() const;
  void setReadTimeout(milliseconds Time);
  /// Sets the size of the kernel's buffer; call it before connect().
  void setReceiveBuffer(int Bytes) { ReceiveBuffer = Bytes; }
  /// Drops what is buffered, and returns its size.
  std::size_t takeBuffered();
  /// Reads and drops some bytes; returns how many, 0 at the end.
  std::size_t readUpTo(std::size_t Bytes);
  /// Wakes a thread that reads; the descriptor stays open.
  void shutDown();
  void close();

private:
  bool readChunks(http_message &Message);

  int Descriptor = -1;
  int ReceiveBuffer = 0;
  std::string Buffer;
};

/// A listener on 127.0.0.1 with a thread for each connection.
class tcp_server {
public:
  /// Serves one request whose head has been read. Returns whether the
  /// connection is kept.
  using handler =
      std::function<bool(stream_socket &, http_message &, std::uint64_t)>;

  explicit tcp_server(handler Handler);
  ~tcp_server();
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  /// Stops listening, and ends all connections.
  void stop();

private:
  struct connection {
    stream_socket Socket;
    std::thread Thread;
  };
  void start();
  void accept(int Listener);
  void serve(stream_socket &Socket, std::uint64_t Number);

  const handler Handler;
  std::uint16_t Port = 0;
  std::atomic<int> Listener{-1};
  std::atomic<std::uint64_t> LastNumber{0};
  std::thread Acceptor;
  std::mutex Mutex;
  std::list<std::unique_ptr<connection>> Connections;
};

/// The text of a response with a length.
std::string makeResponse(int Status, const std::vector<header_field> &Fields,
                         std::string_view Body);
/// The text of a request with a length, if it has a body.
std::string makeRequest(const std::string &Method, const std::string &Target,
                        const std::vector<header_field> &Fields,
                        std::string_view Body);
std::string makeChunk(std::string_view Data);

/// Ports of 127.0.0.1 that nobody listens at.
std::vector<std::uint16_t> findFreePorts(std::size_t Count);

} // namespace review

#endif // REVIEW_STANDINS_3_WIRE_H
