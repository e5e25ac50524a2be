// Guards against a server that spins in accept() when its process has no
// descriptor left: the connection that can't be accepted stays with the kernel,
// accepting fails at once again, and no fiber of that thread runs any more.

#include "LibHTTP/connection_limit.h"
#include "LibHTTP/http_server.h"

#include <atomic>
#include <ctime>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Lowers the limit of descriptors while it lives.
class lowered_limit {
public:
  explicit lowered_limit(rlim_t Most) {
    ::getrlimit(RLIMIT_NOFILE, &Before);
    const rlimit Lowered{Most, Before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  ~lowered_limit() { ::setrlimit(RLIMIT_NOFILE, &Before); }
  lowered_limit(const lowered_limit &) = delete;
  lowered_limit &operator=(const lowered_limit &) = delete;

private:
  rlimit Before{};
};

class caller {
public:
  explicit caller(const endpoint &Server)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server.Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    IsConnected =
        ::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof Address) == 0;
  }
  ~caller() { ::close(Socket); }
  caller(const caller &) = delete;
  caller &operator=(const caller &) = delete;

  bool send() const {
    return IsConnected &&
           ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) > 0;
  }
  /// What arrives within \p Limit; empty if nothing does.
  std::string receive(milliseconds Limit = milliseconds(2'000)) const {
    pollfd Poll{Socket, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(Limit.count())) != 1)
      return {};
    std::string Space(4096, '\0');
    const ssize_t Count = ::recv(Socket, Space.data(), Space.size(), 0);
    Space.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
    return Space;
  }
  bool isAnswered() const {
    return send() && receive().starts_with("HTTP/1.1 200");
  }

private:
  const int Socket;
  bool IsConnected = false;
};

/// Takes every descriptor that is left.
class descriptor_hog {
public:
  descriptor_hog() {
    for (int File = ::open("/dev/null", O_RDONLY); File >= 0;
         File = ::open("/dev/null", O_RDONLY))
      Files.push_back(File);
  }
  ~descriptor_hog() { release(); }
  descriptor_hog(const descriptor_hog &) = delete;
  descriptor_hog &operator=(const descriptor_hog &) = delete;

  void release() {
    for (const int File : Files)
      ::close(File);
    Files.clear();
  }

private:
  std::vector<int> Files;
};

std::chrono::duration<double> processorTime() {
  timespec Time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return seconds(Time.tv_sec) + nanoseconds(Time.tv_nsec);
}

void answer(http_exchange &Exchange) { Exchange.respond({200, {}}, "ok"); }

} // namespace

TEST_CASE("a server without a free descriptor serves the connections it has "
          "and recovers by itself") {
  fiber_runtime Runtime(2);
  http_server Server(Runtime, {"127.0.0.1", 0}, {}, answer, writeErrorResponse);
  const caller Early(Server.address());
  const caller Other(Server.address());
  REQUIRE(Early.isAnswered());
  REQUIRE(Other.isAnswered());
  const lowered_limit Limit(128);
  std::optional<caller> Late;
  // The caller's own socket needs a descriptor, the server's has none left.
  const int Kept = ::open("/dev/null", O_RDONLY);
  descriptor_hog Hog;
  ::close(Kept);
  Late.emplace(Server.address());
  REQUIRE(Late->send());

  const std::chrono::duration<double> Before = processorTime();
  REQUIRE(Late->receive(milliseconds(500)).empty());
  REQUIRE((processorTime() - Before).count() < 0.25);
  REQUIRE(Server.acceptPauses() > 0);
  REQUIRE(Early.isAnswered());
  REQUIRE(Other.isAnswered());
  Hog.release();
  REQUIRE(Late->receive().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a server without a free descriptor can be drained") {
  fiber_runtime Runtime(1);
  http_server Server(Runtime, {"127.0.0.1", 0}, {}, answer, writeErrorResponse);
  const caller Early(Server.address());
  REQUIRE(Early.isAnswered());
  const lowered_limit Limit(128);
  const int Kept = ::open("/dev/null", O_RDONLY);
  descriptor_hog Hog;
  ::close(Kept);
  const caller Late(Server.address());
  REQUIRE(Late.send());
  REQUIRE(Late.receive(milliseconds(100)).empty());
  // As a host does it: on a fiber, which a server that spins keeps from
  // running.
  std::atomic<bool> Refuses{false};
  Runtime.spawn([&] {
    Server.refuseNew();
    Refuses = true;
  });
  for (int Round = 0; Round < 200 && !Refuses.load(); ++Round)
    std::this_thread::sleep_for(milliseconds(10));
  REQUIRE(Refuses.load());
  REQUIRE(Early.send());
  REQUIRE(Early.receive().starts_with("HTTP/1.1 503"));
}

TEST_CASE("callers leave descriptors for upstreams and idle ones make room") {
  // 30 connections of callers are the bound of 268 descriptors.
  const lowered_limit Limit(268);
  REQUIRE(callerConnectionLimit(descriptorLimit()) == 30);
  fiber_runtime Runtime(2);
  http_server Server(Runtime, {"127.0.0.1", 0}, {}, answer, writeErrorResponse);
  const http_server Ready(Runtime, {"127.0.0.1", 0}, {}, answer,
                          writeErrorResponse);
  // Each stays connected after its response, as a caller that would use the
  // connection again.
  std::vector<std::unique_ptr<caller>> Idle;
  Idle.reserve(60);
  for (int Count = 0; Count < 60; ++Count) {
    Idle.push_back(std::make_unique<caller>(Server.address()));
    REQUIRE(Idle.back()->isAnswered());
  }
  REQUIRE(caller(Ready.address()).isAnswered());
  // With callers that send nothing, the bound is reached.
  std::vector<std::unique_ptr<caller>> Silent;
  Silent.reserve(30);
  for (int Count = 0; Count < 30; ++Count)
    Silent.push_back(std::make_unique<caller>(Server.address()));
  const caller Late(Server.address());
  REQUIRE(Late.send());
  REQUIRE(Late.receive(milliseconds(200)).empty());
  REQUIRE(Server.acceptPauses() > 0);
  REQUIRE(caller(Ready.address()).isAnswered());
  Silent.clear();
  REQUIRE(Late.receive().starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "the limit of callers leaves a reserve at each limit of descriptors") {
  for (std::size_t Descriptors = 0; Descriptors < 10'000; ++Descriptors) {
    const std::size_t Callers = callerConnectionLimit(Descriptors);
    REQUIRE(Callers >= 1);
    if (Descriptors >= 204)
      REQUIRE(2 * Callers + 200 <= Descriptors);
  }
}
