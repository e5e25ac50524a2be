// Drives seven hosts' rate limiters with seeded arrivals of one customer on a
// paused clock and compares them with an oracle, a single bucket for the whole
// fleet, with a static division by the number of hosts, and with hosts that
// don't coordinate. Messages between hosts take no time. A request that a host
// would let wait is tried once more when the wait is over; only here, not at
// the oracle.
// Prints a Markdown table, or JSON with --json.

#include "LibCore/result_code.h"
#include "LibHost/rate_limiter.h"
#include "LibLog/log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace spindle;

namespace {

constexpr std::size_t HostCount = 7;
constexpr std::array<std::uint64_t, HostCount> Zones{1, 1, 1, 2, 2, 3, 3};
constexpr std::uint32_t EvenParts = 1'000'000 / HostCount;
constexpr milliseconds WarmUp{60'000};
constexpr milliseconds MaintainInterval{100};
/// As in rate_limiter_settings.
constexpr milliseconds AdmissionWait{50};
/// How long membership takes to give a lost host's share to others.
constexpr milliseconds ReassignAfter{20'000};
constexpr seconds ShareValidity{7'200};
constexpr double NeverSeconds = 1e9;

struct scenario {
  std::string Name;
  double Rate = 10'000;
  std::int64_t Burst = 20'000;
  double Load = 0.9;
  /// The part of the customer's traffic that reaches host 0.
  double FirstHostPart = 1.0 / HostCount;
  double HostLostAt = NeverSeconds;
  double ZoneCutAt = NeverSeconds;
  double RunSeconds = 1'200;
  std::int64_t LargestPrompt = 500;
  std::int64_t LargestAnswer = 300;
};

/// One way of limiting the customer over the fleet.
struct contender {
  std::string Name;
  std::function<bool(std::size_t Host, std::size_t Request, tokens Amount)>
      Reserve;
  std::function<void(std::size_t Request, tokens Used)> Settle;
};

struct request {
  time_point At;
  std::size_t Host = 0;
  tokens Reserved;
  tokens Used;
  nanoseconds Duration{0};
};

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

/// Buckets without loans: one for all, or one a host.
contender makeBuckets(std::string Name, std::size_t Count, double Part,
                      const scenario &Scenario, const runtime_clock &Clock) {
  struct ticket {
    std::size_t Bucket = 0;
    std::uint64_t ChargeSequence = 0;
    micro_tokens Charged;
  };
  struct state {
    std::vector<customer_share> Shares;
    std::map<std::size_t, ticket> Tickets;
  };
  const std::shared_ptr<state> State = std::make_shared<state>();
  State->Shares.resize(Count);
  for (customer_share &Share : State->Shares) {
    Share.LastRefill = Clock.now();
    setBaseShare(Share, toMicro(token_rate{Scenario.Rate * Part}),
                 toMicro(tokens{std::int64_t(double(Scenario.Burst) * Part)}),
                 time_point::max(), Clock.now());
  }
  contender Contender;
  Contender.Name = std::move(Name);
  Contender.Reserve = [State, Count, &Clock](std::size_t Host, std::size_t Id,
                                             tokens Amount) {
    const std::size_t Bucket = Host % Count;
    const std::optional<std::uint64_t> ChargeSequence =
        tryCharge(State->Shares[Bucket], toMicro(Amount), Clock.now());
    if (ChargeSequence)
      State->Tickets[Id] = {Bucket, *ChargeSequence, toMicro(Amount)};
    return ChargeSequence.has_value();
  };
  Contender.Settle = [State, &Clock](std::size_t Id, tokens Used) {
    const auto Found = State->Tickets.find(Id);
    if (Found == State->Tickets.end())
      return;
    const ticket Ticket = Found->second;
    State->Tickets.erase(Found);
    settleCharge(State->Shares[Ticket.Bucket], Ticket.ChargeSequence,
                 Ticket.Charged, toMicro(Used), Clock.now());
  };
  return Contender;
}

/// Seven rate_limiters that call each other directly.
class escrow_fleet {
public:
  escrow_fleet(const scenario &Scenario, const runtime_clock &Clock)
      : Clock(Clock) {
    customer_declaration Customer;
    Customer.Name = "customer";
    Customer.Rate = {Scenario.Rate};
    Customer.Burst = {Scenario.Burst};
    for (std::size_t Host = 0; Host < HostCount; ++Host) {
      host_link::Sender Self;
      Self.set_host(Host + 1);
      Self.set_zone(Zones[Host]);
      Self.set_incarnation(1);
      rate_limiter_settings Settings;
      Settings.AdmissionWait = milliseconds(0);
      Limiters.push_back(std::make_unique<rate_limiter>(
          Clock, linkOf(Host), Self, nullptr, Settings));
      Limiters.back()->applyCustomers({&Customer, 1});
    }
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      applyView(Host, EvenParts);
  }

  void applyView(std::size_t Host, std::uint32_t Parts) {
    host_view View;
    for (std::size_t Peer = 0; Peer < HostCount; ++Peer)
      if (Peer != Host && Peer != Lost)
        View.Peers.push_back({host_id{Peer + 1}, "", zone_id{Zones[Peer]},
                              endpoint{"", std::uint16_t(Peer)}});
    View.Share = {Parts, 1, Clock.now() + ShareValidity};
    Limiters[Host]->applyView(View);
  }

  void loseHost(std::size_t Host) { Lost = Host; }
  void cutZone(std::uint64_t Zone) { Cut = Zone; }
  void reassignLost() {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Host != Lost)
        applyView(Host, 1'000'000 / (HostCount - 1));
  }
  void maintain() {
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      if (Host != Lost)
        Limiters[Host]->maintain();
  }

  contender asContender() {
    contender Contender;
    Contender.Name = "escrow";
    Contender.Reserve = [this](std::size_t Host, std::size_t Id,
                               tokens Amount) {
      try {
        Reservations[Id] = {
            Host, Limiters[Host]->reserve(customer_id::ofName("customer"),
                                          Amount, Clock.now() + seconds(10))};
        return true;
      } catch (const spindle_error &) {
        return false;
      }
    };
    Contender.Settle = [this](std::size_t Id, tokens Used) {
      const auto Found = Reservations.find(Id);
      if (Found == Reservations.end())
        return;
      Limiters[Found->second.first]->settle(std::move(Found->second.second),
                                            Used);
      Reservations.erase(Found);
    };
    return Contender;
  }

  std::size_t Messages = 0;
  std::size_t Bytes = 0;

private:
  void checkReachable(std::size_t From, std::size_t To) const {
    const bool Apart = (Zones[From] == Cut) != (Zones[To] == Cut);
    if (To == Lost || Apart)
      throw spindle_error(result_code::PeerUnreachable, "cut off");
  }

  host_link_port linkOf(std::size_t From) {
    host_link_port Link;
    Link.Borrow = [this, From](const endpoint &Peer,
                               const host_link::BorrowRequest &Request,
                               milliseconds) {
      ++Messages;
      Bytes += Request.ByteSizeLong();
      checkReachable(From, Peer.Port);
      host_link::BorrowReply Reply = Limiters[Peer.Port]->handleBorrow(Request);
      Bytes += Reply.ByteSizeLong();
      return Reply;
    };
    Link.Repay = [this, From](const endpoint &Peer,
                              const host_link::RepayRequest &Request,
                              milliseconds) {
      checkReachable(From, Peer.Port);
      return Limiters[Peer.Port]->handleRepay(Request);
    };
    return Link;
  }

  const runtime_clock &Clock;
  std::vector<std::unique_ptr<rate_limiter>> Limiters;
  std::map<std::size_t, std::pair<std::size_t, rate_reservation>> Reservations;
  std::size_t Lost = HostCount;
  std::uint64_t Cut = 0;
};

std::vector<request> makeRequests(const scenario &Scenario, time_point Start) {
  constexpr std::uint64_t Seed = 20261204;
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  const double MeanUsed =
      double(Scenario.LargestPrompt) / 2 + double(Scenario.LargestAnswer) / 2;
  std::exponential_distribution<double> Gap(Scenario.Load * Scenario.Rate /
                                            MeanUsed);
  std::vector<request> Requests;
  double Seconds = 0;
  while ((Seconds += Gap(Random)) < Scenario.RunSeconds) {
    request Request;
    Request.At = Start + nanoseconds(std::int64_t(Seconds * 1e9));
    const double Place = Uniform(Random);
    const double Rest = (Place - Scenario.FirstHostPart) /
                        (1 - Scenario.FirstHostPart) * (HostCount - 1);
    Request.Host = Place < Scenario.FirstHostPart ? 0 : 1 + std::size_t(Rest);
    if (Request.Host == 0 && Seconds >= Scenario.HostLostAt)
      Request.Host = 1 + std::size_t(Uniform(Random) * (HostCount - 1));
    const std::int64_t Prompt =
        1 + std::int64_t(Uniform(Random) * double(Scenario.LargestPrompt));
    Request.Reserved = {Prompt + Scenario.LargestAnswer};
    Request.Used = {Prompt + std::int64_t(Uniform(Random) *
                                          double(Scenario.LargestAnswer))};
    Request.Duration = milliseconds(500 + std::int64_t(Uniform(Random) * 4e3));
    Requests.push_back(Request);
  }
  return Requests;
}

/// Adds an admitted request to the running excess over rate x time.
void countUsage(outcome &Outcome, const scenario &Scenario,
                const request &Request, time_point Now) {
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

/// Plays what is due up to \p Until: maintenance, faults and settlements.
class timeline {
public:
  timeline(const scenario &Scenario, runtime_clock &Clock, escrow_fleet &Fleet,
           std::vector<contender> &Contenders)
      : Scenario(Scenario), Clock(Clock), Fleet(Fleet), Contenders(Contenders),
        Start(Clock.now()), NextMaintain(Start) {}

  void settleLater(time_point At, std::size_t Id, tokens Used) {
    Settlements.push({At, Id, Used.Count});
  }

  /// Calls \p Retry when the wait of a request is over.
  void retryLater(time_point At, std::function<void()> Retry) {
    Retries.emplace_back(At, std::move(Retry));
  }

  void playUntil(time_point Until) {
    while (true) {
      const time_point NextSettle = Settlements.empty()
                                        ? time_point::max()
                                        : std::get<0>(Settlements.top());
      const time_point NextRetry =
          Retries.empty() ? time_point::max() : Retries.front().first;
      const time_point Next = std::min({NextMaintain, NextSettle, NextRetry});
      if (Next > Until)
        break;
      Clock.advance(Next - Clock.now());
      if (Next == NextSettle)
        settle();
      else if (Next == NextRetry)
        retry();
      else
        maintain();
    }
    Clock.advance(Until - Clock.now());
  }

private:
  void retry() {
    const std::function<void()> Retry = std::move(Retries.front().second);
    Retries.pop_front();
    Retry();
  }

  void settle() {
    const auto [At, Id, Used] = Settlements.top();
    Settlements.pop();
    for (const contender &Contender : Contenders)
      Contender.Settle(Id, {Used});
  }

  void maintain() {
    const std::chrono::duration<double> Passed = Clock.now() - Start - WarmUp;
    const std::chrono::duration<double> Reassign = ReassignAfter;
    if (Passed.count() >= Scenario.HostLostAt)
      Fleet.loseHost(0);
    if (Passed.count() >= Scenario.HostLostAt + Reassign.count() &&
        !std::exchange(Reassigned, true))
      Fleet.reassignLost();
    if (Passed.count() >= Scenario.ZoneCutAt)
      Fleet.cutZone(Zones.back());
    Fleet.maintain();
    NextMaintain += MaintainInterval;
  }

  using settlement = std::tuple<time_point, std::size_t, std::int64_t>;
  const scenario &Scenario;
  runtime_clock &Clock;
  escrow_fleet &Fleet;
  std::vector<contender> &Contenders;
  time_point Start;
  time_point NextMaintain;
  bool Reassigned = false;
  std::deque<std::pair<time_point, std::function<void()>>> Retries;
  std::priority_queue<settlement, std::vector<settlement>, std::greater<>>
      Settlements;
};

run_result run(const scenario &Scenario) {
  runtime_clock Clock;
  Clock.pause();
  escrow_fleet Fleet(Scenario, Clock);
  constexpr double Even = 1.0 / HostCount;
  std::vector<contender> Contenders{
      makeBuckets("oracle", 1, 1, Scenario, Clock), Fleet.asContender(),
      makeBuckets("static", HostCount, Even, Scenario, Clock),
      makeBuckets("uncoordinated", HostCount, 1, Scenario, Clock)};
  run_result Result;
  timeline Timeline(Scenario, Clock, Fleet, Contenders);
  Timeline.playUntil(Clock.now() + WarmUp);
  const std::vector<request> Requests = makeRequests(Scenario, Clock.now());
  Result.Requests = Requests.size();
  for (const contender &Contender : Contenders)
    Result.Outcomes.push_back({Contender.Name, 0, 0, 0, 0, 0, Clock.now()});
  const std::size_t MessagesBefore = Fleet.Messages;
  for (std::size_t Id = 0; Id < Requests.size(); ++Id) {
    const request &Request = Requests[Id];
    Timeline.playUntil(Request.At);
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
  Timeline.playUntil(Clock.now() + seconds(1));
  const double Messages = double(Fleet.Messages - MessagesBefore);
  Result.MessagesPerSecond = Messages / Scenario.RunSeconds / HostCount;
  Result.BytesPerMessage =
      double(Fleet.Bytes) / std::max<double>(1, double(Fleet.Messages));
  return Result;
}

std::vector<scenario> scenarios() {
  std::vector<scenario> List;
  List.push_back({"all well, even balancer"});
  List.push_back({"all well, burst of 10 s"});
  List.back().Burst = 100'000;
  List.push_back({"70% of the traffic on one host"});
  List.back().FirstHostPart = 0.7;
  List.push_back({"70% on one host, burst of 10 s"});
  List.back().FirstHostPart = 0.7;
  List.back().Burst = 100'000;
  List.push_back({"a host lost after 600 s"});
  List.back().HostLostAt = 600;
  List.push_back({"a zone cut off after 600 s"});
  List.back().ZoneCutAt = 600;
  List.push_back({"platform down 10 minutes"});
  List.back().RunSeconds = 600;
  List.push_back({"requests larger than a host's share"});
  List.back().Rate = 1'000;
  List.back().Burst = 4'000;
  List.back().RunSeconds = 6'000;
  List.push_back({"four times the rate, 70% on one host"});
  List.back().Load = 4;
  List.back().FirstHostPart = 0.7;
  return List;
}

void printRow(const scenario &Scenario, const run_result &Result,
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
  for (const scenario &Scenario : scenarios()) {
    const run_result Result = run(Scenario);
    for (const outcome &Outcome : Result.Outcomes)
      printRow(Scenario, Result, Outcome, AsJson);
  }
  return 0;
}
