#ifndef PARSLEYSPINDLE_STANDINS_LIBFORWARDING_UPSTREAM_STAND_IN_H
#define PARSLEYSPINDLE_STANDINS_LIBFORWARDING_UPSTREAM_STAND_IN_H

#include "LibHTTP/http_server.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace spindle {

/// What a test switches on in an upstream_stand_in.
struct upstream_switches {
  /// Refuses everything, and says that it has not run it.
  bool Full = false;
  /// Answers with a failure of its own.
  bool Failing = false;
  /// Runs a request and closes the connection without an answer.
  bool LosesAnswers = false;
  /// Breaks a stream off after so many events; 0 for never.
  int BreaksAfter = 0;
  /// Ends a stream that breaks off as if it were complete.
  bool EndsBroken = false;
  milliseconds EventPause{0};
  /// How long a request runs before anything of its answer is sent.
  milliseconds AnswerDelay{0};
  /// Answers each request with 421 when it comes first, and sends that answer
  /// once more before the next one on the same connection.
  bool RepeatsMisdirection = false;
  /// The Server-Limit of every answer, as text; empty for none.
  std::string Limit;
  /// States in every answer that it leaves.
  bool Leaving = false;
  /// The load that every answer states, as text; empty for none.
  std::string Load;
  /// The Retry-After of every refusal, as text; empty for none.
  std::string RetryAfter;
};

/// An upstream as the platform's page describes it: a plain service, or a model
/// engine that takes orders and answers with numbered events. Thread-safe.
class upstream_stand_in {
public:
  /// \p Name is its identity. \p Model is empty for a plain service.
  upstream_stand_in(fiber_runtime &Runtime, std::string Name,
                    std::string Service, std::string Zone, std::string Model);

  /// What it registers at the platform.
  nlohmann::json registration(std::string_view State = "ready");
  const std::string &name() const { return Name; }
  void set(const upstream_switches &NewSwitches);
  /// How often a request of that id was run.
  int runsOf(const std::string &AttemptId) const;
  std::size_t runs() const;
  /// When each request arrived, those that were refused included.
  std::vector<time_point> arrivals() const;
  /// How many callers left while their stream was pending.
  int abandoned() const { return Abandoned.load(); }
  /// The header fields of the last request that was run.
  http_request_head lastRequest() const;
  std::string lastBody() const;
  /// Adapters as "NAME@VERSION".
  std::set<std::string> adapters() const;
  /// Whether it was ordered to load more than Places.
  bool overfilled() const { return Overfilled.load(); }

  static constexpr std::size_t Places = 2;
  static constexpr int Events = 5;

private:
  void serve(http_exchange &Exchange);
  void serveOrder(http_exchange &Exchange);
  void serveReport(http_exchange &Exchange);
  void run(http_exchange &Exchange);
  void stream(http_exchange &Exchange, const upstream_switches &Now);
  /// Waits for the next event; returns whether the caller is still there.
  bool pause(http_exchange &Exchange, milliseconds Time);
  bool refuses(http_exchange &Exchange, const upstream_switches &Now);
  bool misdirects(http_exchange &Exchange, const std::string &AttemptId);
  nlohmann::json models() const;

  const std::string Name;
  const std::string Service;
  const std::string Zone;
  const std::string Model;
  mutable std::mutex Mutex;
  upstream_switches Switches;
  std::map<std::string, int> Runs;
  /// The request ids that were answered with 421 when they came first.
  std::set<std::string> Misdirected;
  /// The id of the last 421 of a connection, by its number.
  std::map<std::uint64_t, std::string> LastMisdirected;
  std::vector<time_point> Arrivals;
  std::map<std::string, std::uint64_t> Adapters;
  std::uint64_t OrderCount = 0;
  std::uint64_t HighestFence = 0;
  http_request_head Last;
  std::string LastBody;
  std::atomic<bool> Overfilled{false};
  std::atomic<int> Abandoned{0};
  http_server Server;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBFORWARDING_UPSTREAM_STAND_IN_H
