#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_CALLER_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_CALLER_H

#include "record.h"

#include <atomic>

namespace review {

struct call {
  int Port = 0;
  std::string Path;
  std::string Model;
  std::string TokenCounts;
  int DeadlineMs = 15'000;
  std::string Body = "{}";
  /// If not negative, the sending side is closed after this many seconds.
  double HalfCloseAfter = -1;
};

struct call_result {
  std::string Id;
  /// 0 if the connection ended without an answer.
  int Status = 0;
  bool IsSealed = false;
  bool Complete = false;
  std::string Body;
};

inline std::string nextId() {
  static std::atomic<unsigned> Next{1};
  char Text[24];
  std::snprintf(Text, sizeof Text, "%016x", Next.fetch_add(1));
  return Text;
}

/// Sends one request on a connection of its own, and reads the answer.
inline call_result sendCall(recorder &Record, const call &Call) {
  call_result Result;
  Result.Id = nextId();
  const int Socket = connectTo(Call.Port);
  if (Socket < 0) {
    Record.line("client: %s found no listener", Result.Id.c_str());
    return Result;
  }
  header_fields Fields = {
      {"Host", "ficu95.example"},
      {"X-Parsleyspindle-Request-Id", Result.Id},
      {"X-Parsleyspindle-Deadline-Ms", std::to_string(Call.DeadlineMs)},
      {"X-Parsleyspindle-Key", "i9n73hh2b9wu3fexd9dn"}};
  if (!Call.Model.empty())
    Fields.emplace_back("X-Parsleyspindle-Model", Call.Model);
  if (!Call.TokenCounts.empty())
    Fields.emplace_back("X-Parsleyspindle-Token-Counts", Call.TokenCounts);
  Record.line("client: sends %s %s %s", Result.Id.c_str(), Call.Path.c_str(),
              Call.Model.c_str());
  sendAll(Socket, format("POST " + Call.Path + " HTTP/1.1", Fields, Call.Body));
  if (Call.HalfCloseAfter >= 0) {
    sleepSeconds(Call.HalfCloseAfter);
    ::shutdown(Socket, SHUT_WR);
  }
  reader Reader(Socket);
  message Answer;
  if (Reader.read(Answer)) {
    Result.Status = Answer.status();
    Result.IsSealed = !Answer.field("X-Parsleyspindle-Server-Seal").empty();
    Result.Complete = Answer.Complete;
    Result.Body = Answer.Body;
  }
  ::close(Socket);
  Record.line("client: %s got %d%s%s", Result.Id.c_str(), Result.Status,
              Result.IsSealed ? " sealed" : "",
              Result.Complete ? " complete" : "");
  return Result;
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_CALLER_H
