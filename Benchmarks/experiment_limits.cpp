// Drives seven hosts' rate limiters with seeded arrivals of one customer on a
// paused clock and compares them with an oracle, a single bucket for the whole
// fleet, with a static division by the number of hosts, and with hosts that
// don't coordinate. Messages between hosts take no time. A request that a host
// would let wait is tried once more when the wait is over; only here, not at
// the oracle.
// Prints a Markdown table, or JSON with --json.

#include "limit_contenders.h"
#include "limit_scenario.h"
#include "limit_timeline.h"

#include "LibLog/log.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

using namespace spindle;

namespace {

/// As in rate_limiter_settings.
constexpr milliseconds AdmissionWait{50};

/// The results of one contender.
struct outcome {
  std::string Name;
  std::size_t Refused = 0;
  /// Refused although the oracle admitted it.
  std::size_t Wrongful = 0;
  std::int64_t AdmittedTokens = 0;
  double Excess = 0;
  double LargestExcess = 0;
  time_point Last;
};

/// Adds an admitted request to the running excess over rate x time.
void countUsage(outcome &Outcome, const limit_scenario &Scenario,
                const limited_request &Request, time_point Now) {
  const std::chrono::duration<double> Passed = Now - Outcome.Last;
  Outcome.Excess =
      std::max(0.0, Outcome.Excess - Scenario.Rate * Passed.count());
  Outcome.Excess += double(Request.Used.Count);
  Outcome.LargestExcess = std::max(Outcome.LargestExcess, Outcome.Excess);
  Outcome.Last = Now;
  Outcome.AdmittedTokens += Request.Used.Count;
}

struct run_result {
  std::size_t Requests = 0;
  std::vector<outcome> Outcomes;
  double MessagesPerSecond = 0;
  double BytesPerMessage = 0;
};

run_result run(const limit_scenario &Scenario) {
  runtime_clock Clock;
  Clock.pause();
  escrow_fleet Fleet(Scenario, Clock);
  constexpr double Even = 1.0 / HostCount;
  std::vector<limit_contender> Contenders{
      makeBuckets("oracle", 1, 1, Scenario, Clock), Fleet.asContender(),
      makeBuckets("static", HostCount, Even, Scenario, Clock),
      makeBuckets("uncoordinated", HostCount, 1, Scenario, Clock)};
  run_result Result;
  limit_timeline Timeline(Scenario, Clock, Fleet, Contenders);
  Timeline.runUntil(Clock.now() + WarmUp);
  const std::vector<limited_request> Requests =
      makeRequests(Scenario, Clock.now());
  Result.Requests = Requests.size();
  for (const limit_contender &Contender : Contenders)
    Result.Outcomes.push_back({Contender.Name, 0, 0, 0, 0, 0, Clock.now()});
  const std::size_t MessagesBefore = Fleet.Messages;
  for (std::size_t Id = 0; Id < Requests.size(); ++Id) {
    const limited_request &Request = Requests[Id];
    Timeline.runUntil(Request.At);
    bool OracleAdmitted = false;
    for (std::size_t Index = 0; Index < Contenders.size(); ++Index) {
      const bool Admitted =
          Contenders[Index].Reserve(Request.Host, Id, Request.Reserved);
      outcome &Outcome = Result.Outcomes[Index];
      if (Index == 0)
        OracleAdmitted = Admitted;
      const auto Count = [&Outcome, &Scenario, &Clock, &Request,
                          OracleAdmitted](bool IsAdmitted) {
        if (IsAdmitted)
          countUsage(Outcome, Scenario, Request, Clock.now());
        Outcome.Refused += IsAdmitted ? 0 : 1;
        Outcome.Wrongful += !IsAdmitted && OracleAdmitted ? 1 : 0;
      };
      if (Admitted || Outcome.Name != "escrow") {
        Count(Admitted);
        continue;
      }
      Timeline.retryLater(Request.At + AdmissionWait, [&Contenders, &Request,
                                                       Index, Id, Count] {
        Count(Contenders[Index].Reserve(Request.Host, Id, Request.Reserved));
      });
    }
    Timeline.settleLater(Request.At + Request.Duration, Id, Request.Used);
  }
  Timeline.runUntil(Clock.now() + seconds(1));
  const double Messages = double(Fleet.Messages - MessagesBefore);
  Result.MessagesPerSecond = Messages / Scenario.RunSeconds / HostCount;
  Result.BytesPerMessage =
      double(Fleet.Bytes) / std::max<double>(1, double(Fleet.Messages));
  return Result;
}

void printRow(const limit_scenario &Scenario, const run_result &Result,
              const outcome &Outcome, bool AsJson) {
  const double Percent =
      100.0 * double(Outcome.Wrongful) / double(Result.Requests);
  const double Used = 100.0 * double(Outcome.AdmittedTokens) /
                      (Scenario.Rate * Scenario.RunSeconds);
  const double Over =
      std::max(0.0, Outcome.LargestExcess - double(Scenario.Burst));
  const char *Format =
      AsJson ? "{\"scenario\":\"%s\",\"contender\":\"%s\",\"requests\":%zu,"
               "\"refused\":%zu,\"wrongful\":%zu,\"wrongfulPercent\":%.3f,"
               "\"admittedPercentOfRate\":%.1f,\"overAdmittedTokens\":%.0f,"
               "\"messagesPerHostSecond\":%.2f,\"bytesPerExchange\":%.0f}\n"
             : "| %s | %s | %zu | %zu | %zu | %.3f%% | %.1f%% | %.0f | %.2f | "
               "%.0f |\n";
  const bool IsEscrow = Outcome.Name == "escrow";
  std::printf(Format, Scenario.Name.c_str(), Outcome.Name.c_str(),
              Result.Requests, Outcome.Refused, Outcome.Wrongful, Percent, Used,
              Over, IsEscrow ? Result.MessagesPerSecond : 0.0,
              IsEscrow ? Result.BytesPerMessage : 0.0);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  startLogging({log_severity::Error, false});
  const bool AsJson =
      ArgumentCount > 1 && std::strcmp(Arguments[1], "--json") == 0;
  if (!AsJson)
    std::printf("| scenario | limiter | requests | refused | wrongful | "
                "wrongful | admitted of rate | over-admitted tokens | loan "
                "requests a host a second | bytes an exchange |\n"
                "|---|---|---|---|---|---|---|---|---|---|\n");
  for (const limit_scenario &Scenario : limitScenarios()) {
    const run_result Result = run(Scenario);
    for (const outcome &Outcome : Result.Outcomes)
      printRow(Scenario, Result, Outcome, AsJson);
  }
  return 0;
}
