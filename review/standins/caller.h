#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_CALLER_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_CALLER_H

#include "hosts.h"

#include <memory>

namespace review {

struct call {
  std::string Method = "POST";
  std::string Target;
  std::string Host;
  std::string Id;
  /// Further fields, each with its line end.
  std::string Fields;
  std::string Body;
  milliseconds Deadline{5'000};
};

struct outcome {
  /// 0 if the connection ended or fell silent before the head of an answer.
  int Status = 0;
  bool Complete = false;
  /// Whether the connection had carried a request before.
  bool WasKept = false;
  message Answer;
};

inline std::string nextId(const std::string &Prefix) {
  static std::atomic<std::uint64_t> Count{0};
  char Id[64];
  std::snprintf(Id, sizeof Id, "%s-%08llx", Prefix.c_str(),
                static_cast<unsigned long long>(++Count));
  return Id;
}

inline std::string requestText(const call &Call) {
  std::string Text =
      Call.Method + " " + Call.Target + " HTTP/1.1\r\nHost: " + Call.Host +
      "\r\nX-Parsleyspindle-Request-Id: " + Call.Id +
      "\r\nX-Parsleyspindle-Deadline-Ms: " +
      std::to_string(Call.Deadline.count()) + "\r\n" + Call.Fields;
  if (Call.Method != "GET")
    Text += "Content-Length: " + std::to_string(Call.Body.size()) + "\r\n";
  return Text + "\r\n" + Call.Body;
}

inline void recordSent(const call &Call, std::uint16_t Port) {
  record("caller sends %s to port %u", Call.Id.c_str(), Port);
}

inline void recordOutcome(const call &Call, const outcome &Outcome) {
  record("caller: %s is answered %d, %s", Call.Id.c_str(), Outcome.Status,
         Outcome.Complete ? "complete" : "cut or not at all");
}

/// Sends one request on a new connection and waits for the whole answer, at
/// most until the deadline and a second more.
inline outcome sendCall(std::uint16_t Port, const call &Call) {
  outcome Result;
  const int Socket = dial(Port);
  if (Socket < 0)
    return Result;
  connection Peer(Socket);
  const milliseconds Limit = Call.Deadline + milliseconds(1'000);
  recordSent(Call, Port);
  if (Peer.send(requestText(Call)) && Peer.readHead(Result.Answer, Limit)) {
    Result.Status = Result.Answer.Status;
    Result.Complete = Peer.readBody(Result.Answer, Limit);
  }
  recordOutcome(Call, Result);
  return Result;
}

/// A caller that keeps its connection for many requests.
class kept_caller {
public:
  explicit kept_caller(std::uint16_t Port) : Port(Port) {}

  /// Sends a request, on a new connection if there is none.
  outcome send(const call &Call) {
    outcome Result;
    if (!Peer) {
      const int Socket = dial(Port);
      if (Socket < 0)
        return Result;
      Peer = std::make_unique<connection>(Socket);
      Sent = 0;
    }
    ++Sent;
    const milliseconds Limit = Call.Deadline + milliseconds(1'000);
    const bool HasHead =
        Peer->send(requestText(Call)) && Peer->readHead(Result.Answer, Limit);
    if (HasHead) {
      Result.Status = Result.Answer.Status;
      Result.Complete = Peer->readBody(Result.Answer, Limit);
    }
    recordOutcome(Call, Result);
    Result.WasKept = Sent > 1;
    if (!Result.Complete ||
        lowerCase(Result.Answer.field("Connection")) == "close")
      Peer.reset();
    return Result;
  }

private:
  const std::uint16_t Port;
  std::unique_ptr<connection> Peer;
  int Sent = 0;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_CALLER_H
