// Sends seeded requests of unequal cost from several hosts to servers on a
// virtual clock, under each way to choose a server, and prints a Markdown
// table. A server does one request after the other.

#include "LibScheduling/cost_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <string>

using namespace spindle;

namespace {

constexpr std::size_t ServerCount = 24;
constexpr std::size_t HostCount = 8;
constexpr int AdapterCount = 200;
constexpr double RunSeconds = 240;
constexpr double WarmUpSeconds = 30;
constexpr double Utilization = 0.75;
/// How often hosts receive what the others have under way.
constexpr double ExchangeSeconds = 0.25;
constexpr double SpeedSlotSeconds = 0.3;
constexpr double ObjectiveSeconds = 1;
constexpr std::int64_t LimitTokens = 4'096;

enum class load { Equal, HeavyTail, WrongHints, TwoSpeeds, Noise, Shift };
constexpr std::array<const char *, 6> LoadNames{
    "equal costs", "heavy tail", "wrong hints", "two speeds", "noise", "shift"};

/// What a way of choosing takes a request for.
enum class measure { Requests, Hint, Learned, True };
/// What a host sees of the others' requests: what they reported last, or all.
enum class sight { None, Reported, Instant };
/// How the measures of a server give its score.
enum class scoring { Sum, Delay, Idle, Share };

struct way {
  const char *Name;
  measure Measure;
  sight Sight;
  scoring Scoring;
  /// How many servers, drawn at random, are compared.
  std::size_t Choices = ServerCount;
  /// Whether half of the servers take the long requests, half the others.
  bool SplitsSizes = false;
};

using enum measure;
using enum sight;
using enum scoring;

constexpr std::array<way, 18> Ways{{
    {"random", Requests, None, Sum, 1},
    {"weighted round robin by speed", Requests, None, Share},
    {"join the idle queue", Requests, Reported, Idle},
    {"least requests", Requests, Reported, Sum},
    {"fewer requests, of 2", Requests, Reported, Sum, 2},
    {"least work by hint", Hint, Reported, Sum},
    {"least work", Learned, Reported, Sum},
    {"shortest delay", Learned, Reported, Delay},
    {"shorter delay, of 2", Learned, Reported, Delay, 2},
    {"shortest delay, of 3", Learned, Reported, Delay, 3},
    {"shortest delay, of 6", Learned, Reported, Delay, 6},
    {"shorter delay, of 2, by size class", Learned, Reported, Delay, 2, true},
    {"shortest delay, true costs", True, Reported, Delay},
    {"least requests, at once", Requests, Instant, Sum},
    {"shorter delay, of 2, at once", Learned, Instant, Delay, 2},
    {"shortest delay by hint, at once", Hint, Instant, Delay},
    {"shortest delay, at once", Learned, Instant, Delay},
    {"shortest delay, true costs, at once", True, Instant, Delay},
}};

struct arrival {
  double Time = 0;
  std::size_t Host = 0;
  std::string Adapter;
  std::string Customer;
  std::int64_t Output = 0;
  std::int64_t Hint = 0;
};

struct ending {
  double Time = 0;
  std::size_t Server = 0;
  double Cost = 0;
  const arrival *Arrival = nullptr;
  bool operator>(const ending &Other) const { return Time > Other.Time; }
};

/// Seconds that a server of speed 1 takes.
double workSeconds(std::int64_t Output) {
  return 0.02 + static_cast<double>(Output) * 0.0005;
}

double speedAt(load Load, std::size_t Server, double Time) {
  if (Load == load::TwoSpeeds)
    return Server % 2 == 0 ? 0.6 : 1.4;
  if (Load != load::Noise || Server % 3 != 0)
    return 1;
  const auto Slot = static_cast<unsigned>(Time / SpeedSlotSeconds);
  std::mt19937 Random(Slot * ServerCount + Server);
  return std::uniform_real_distribution<double>(0.4, 1)(Random);
}

std::vector<arrival> makeArrivals(load Load, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::normal_distribution<double> Octaves(0, 1);
  const auto Draw = [&](double Median, double Spread) -> std::int64_t {
    const double Tokens = Median * std::exp2(Spread * Octaves(Random));
    return std::llround(std::clamp<double>(Tokens, 1, LimitTokens));
  };
  const auto Any = [&](int Count) {
    return std::uniform_int_distribution<int>(0, Count - 1)(Random);
  };
  std::array<double, AdapterCount> Medians{};
  for (double &Median : Medians)
    Median = Load == load::Equal ? 200 : 100 * std::exp2(2 * Octaves(Random));
  constexpr double AllWork = RunSeconds * ServerCount * Utilization;
  std::vector<arrival> Arrivals;
  std::vector<double> Times;
  for (double Work = 0; Work < AllWork;) {
    const int Adapter = Any(AdapterCount);
    // The adapters that had short outputs get long ones.
    const bool IsShifted = Load == load::Shift && Work > AllWork / 2;
    const double Median =
        Medians[IsShifted ? AdapterCount - 1 - Adapter : Adapter];
    const std::int64_t Output = Draw(Median, Load == load::Equal ? 0 : 0.5);
    const bool IsFarOff = Load != load::Equal && Any(3) == 0;
    std::int64_t Hint = Draw(static_cast<double>(Output), IsFarOff ? 3 : 0.2);
    const bool Lies = Load == load::WrongHints && Any(2) == 0;
    if (Lies)
      Hint = Any(2) == 0 ? 1 : LimitTokens;
    Work += workSeconds(Output);
    Times.push_back(
        std::uniform_real_distribution<double>(0, RunSeconds)(Random));
    Arrivals.push_back({0, static_cast<std::size_t>(Any(HostCount)),
                        std::to_string(Adapter), Lies ? "liar" : "honest",
                        Output, Hint});
  }
  std::sort(Times.begin(), Times.end());
  for (std::size_t Index = 0; Index < Times.size(); ++Index)
    Arrivals[Index].Time = Times[Index];
  return Arrivals;
}

time_point at(double Seconds) {
  return time_point(nanoseconds(static_cast<std::int64_t>(Seconds * 1e9)));
}

cost_features featuresOf(const arrival &Arrival) {
  return {"models", "route",      Arrival.Customer, Arrival.Adapter,
          0,        Arrival.Hint, LimitTokens};
}

class fleet {
public:
  fleet(load Load, const way &Way) : Load(Load), Way(Way) {}

  /// The requests' times in seconds.
  std::vector<double> run(const std::vector<arrival> &Arrivals) {
    for (const arrival &Arrival : Arrivals) {
      endUntil(Arrival.Time);
      send(Arrival);
    }
    return Times;
  }

private:
  using server_sums = std::array<double, ServerCount>;

  void endUntil(double Time) {
    while (!Ends.empty() && Ends.top().Time <= Time) {
      const ending End = Ends.top();
      Ends.pop();
      const std::size_t Host = End.Arrival->Host;
      if (Way.Scoring != Share)
        Own[Host][End.Server] -= End.Cost;
      noteOutput(Models[Host], featuresOf(*End.Arrival), End.Arrival->Output,
                 at(End.Time));
    }
    if (Time < LastExchange + ExchangeSeconds)
      return;
    LastExchange = Time;
    Reports = Own;
  }

  double costOf(const arrival &Arrival) const {
    if (Way.Measure == Requests)
      return 1;
    const std::int64_t Stated =
        Way.Measure == Hint ? Arrival.Hint : Arrival.Output;
    if (Way.Measure != Learned)
      return workSeconds(Stated);
    const request_cost Cost = estimateCost(
        Models[Arrival.Host], featuresOf(Arrival), at(Arrival.Time));
    return workSeconds(Cost.OutputTokens);
  }

  double score(std::size_t Host, std::size_t Server, double Cost) const {
    double Sum = Own[Host][Server];
    for (std::size_t Other = 0; Other < HostCount; ++Other)
      if (Other != Host && Way.Sight != None)
        Sum += (Way.Sight == Instant ? Own : Reports)[Other][Server];
    if (Way.Scoring == Idle)
      return std::min(Sum, 1.0);
    const bool UsesSpeed = Way.Scoring == Delay || Way.Scoring == Share;
    return (Sum + Cost) / (UsesSpeed ? speedAt(Load, Server, LastExchange) : 1);
  }

  /// Compares servers in random order, so that equal ones get equal parts.
  std::size_t choose(const arrival &Arrival, double Cost) {
    std::vector<std::size_t> Servers(ServerCount);
    std::iota(Servers.begin(), Servers.end(), 0);
    if (Way.SplitsSizes) {
      const bool IsLong = Cost > MiddleCost;
      // Follows the size at which half of the work is larger.
      MiddleCost *= std::exp2((IsLong ? Cost : -Cost) / 20);
      std::erase_if(Servers, [IsLong](std::size_t Server) {
        return (Server / 2 % 2 == 0) == IsLong;
      });
    }
    std::shuffle(Servers.begin(), Servers.end(), Random);
    Servers.resize(std::min(Servers.size(), Way.Choices));
    return *std::min_element(
        Servers.begin(), Servers.end(), [&](std::size_t A, std::size_t B) {
          return score(Arrival.Host, A, Cost) < score(Arrival.Host, B, Cost);
        });
  }

  void send(const arrival &Arrival) {
    const double Cost = costOf(Arrival);
    const std::size_t Server = choose(Arrival, Cost);
    const double Start = std::max(Arrival.Time, FreeAt[Server]);
    FreeAt[Server] =
        Start + workSeconds(Arrival.Output) / speedAt(Load, Server, Start);
    Ends.push({FreeAt[Server], Server, Cost, &Arrival});
    Own[Arrival.Host][Server] += Cost;
    if (Arrival.Time > WarmUpSeconds)
      Times.push_back(FreeAt[Server] - Arrival.Time);
  }

  const load Load;
  const way &Way;
  std::vector<cost_model> Models{HostCount};
  std::array<server_sums, HostCount> Own{};
  std::array<server_sums, HostCount> Reports{};
  server_sums FreeAt{};
  std::priority_queue<ending, std::vector<ending>, std::greater<>> Ends;
  std::vector<double> Times;
  std::mt19937_64 Random{1};
  double LastExchange = 0;
  double MiddleCost = 0.1;
};

void printCell(load Load, const way &Way) {
  std::vector<double> Times;
  for (const std::uint64_t Seed : {20261204, 20261205, 20261206}) {
    const std::vector<arrival> Arrivals = makeArrivals(Load, Seed);
    const std::vector<double> Some = fleet(Load, Way).run(Arrivals);
    Times.insert(Times.end(), Some.begin(), Some.end());
  }
  std::sort(Times.begin(), Times.end());
  const auto Late = Times.end() - std::upper_bound(Times.begin(), Times.end(),
                                                   ObjectiveSeconds);
  std::printf(" %.2f / %.1f |", Times[Times.size() * 99 / 100],
              100.0 * static_cast<double>(Late) /
                  static_cast<double>(Times.size()));
}

} // namespace

int main() {
  std::printf("| p99 in s / %% over %.0f s |", ObjectiveSeconds);
  for (const char *const Name : LoadNames)
    std::printf(" %s |", Name);
  std::printf("\n| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  for (const way &Way : Ways) {
    std::printf("| %s |", Way.Name);
    for (std::size_t Load = 0; Load < LoadNames.size(); ++Load)
      printCell(static_cast<load>(Load), Way);
    std::printf("\n");
  }
}
