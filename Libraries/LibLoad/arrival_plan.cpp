#include "LibLoad/arrival_plan.h"

#include "LibLoad/zipf_sampler.h"

#include <algorithm>
#include <random>

namespace spindle {

namespace {

/// The source of one customer's arrivals of a kind.
struct arrival_stream {
  load_kind Kind;
  std::uint32_t Customer;
  double PerSecond;
};

} // namespace

static std::uint32_t drawLength(double Mean, std::mt19937_64 &Random) {
  // A gamma distribution of shape 2 is skewed, as lengths of texts are.
  std::gamma_distribution<double> Length(2, Mean / 2);
  return 1 + static_cast<std::uint32_t>(Length(Random));
}

static std::uint32_t drawHost(const load_scenario &Scenario,
                              std::uint32_t Hosts, std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> Part(0, 1);
  const bool First = Part(Random) < Scenario.FirstHostPart;
  std::uniform_int_distribution<std::uint32_t> Host(0, Hosts - 1);
  const std::uint32_t Drawn = Host(Random);
  return First ? 0 : Drawn;
}

/// The adapter that has the rank at a time; popularity shifts with time.
static std::uint32_t adapterAt(const load_scenario &Scenario,
                               std::uint32_t Adapters, std::uint32_t Rank,
                               double Seconds) {
  std::uint64_t Moved = Rank;
  if (Scenario.DriftSeconds > 0)
    Moved += static_cast<std::uint64_t>(Seconds / Scenario.DriftSeconds) *
             Scenario.DriftRanks;
  return static_cast<std::uint32_t>(Moved % Adapters) + 1;
}

static std::vector<arrival_stream> listStreams(const load_scenarios &Common,
                                               const load_scenario &Scenario) {
  double Parts = 0;
  for (const load_customer &Customer : Common.Customers)
    Parts += Customer.Part;
  std::vector<arrival_stream> Streams;
  for (std::uint32_t Index = 0; Index < Common.Customers.size(); ++Index) {
    const bool Heavy = static_cast<int>(Index) == Scenario.HeavyCustomer;
    const double Times = Heavy ? Scenario.HeavyTimes : 1;
    const double Part = Common.Customers[Index].Part / Parts;
    Streams.push_back({load_kind::Completion, Index,
                       Scenario.RequestsPerSecond * Part * Times});
    Streams.push_back(
        {load_kind::Order, Index, Scenario.OrdersPerSecond * Part});
    Streams.push_back(
        {load_kind::StockCheck, Index, Scenario.StockChecksPerSecond * Part});
  }
  Streams.push_back({load_kind::Crashing, 0, Scenario.CrashesPerSecond});
  return Streams;
}

static void drawContent(planned_request &Request, const load_scenarios &Common,
                        const load_scenario &Scenario,
                        const zipf_sampler &Popularity, double Seconds,
                        std::mt19937_64 &Random) {
  std::vector<double> Parts;
  for (const load_class &Class : Common.Classes)
    Parts.push_back(Class.Part);
  std::discrete_distribution<std::uint32_t> Class(Parts.begin(), Parts.end());
  Request.Class = Class(Random);
  const load_class &Chosen = Common.Classes[Request.Class];
  Request.Adapter =
      adapterAt(Scenario, Common.Customers[Request.Customer].Adapters,
                Popularity.draw(Random), Seconds);
  Request.PromptTokens = drawLength(Chosen.PromptTokens, Random);
  Request.AnswerTokens = drawLength(Chosen.AnswerTokens, Random);
}

static void planStream(std::vector<planned_request> &Plan,
                       const arrival_stream &Stream,
                       const load_scenarios &Common,
                       const load_scenario &Scenario, std::uint32_t Hosts) {
  if (Stream.PerSecond <= 0)
    return;
  std::mt19937_64 Random(Common.Seed * 1'000 + Stream.Customer * 10 +
                         static_cast<std::uint64_t>(Stream.Kind));
  const zipf_sampler Popularity(Common.Customers[Stream.Customer].Adapters,
                                Scenario.ZipfExponent);
  std::exponential_distribution<double> Gap(Stream.PerSecond);
  for (double Seconds = Gap(Random);
       Seconds < Scenario.Seconds && Plan.size() < MostPlannedRequests;
       Seconds += Gap(Random)) {
    planned_request Request;
    Request.At = nanoseconds(static_cast<std::int64_t>(Seconds * 1e9));
    Request.Kind = Stream.Kind;
    Request.Customer = Stream.Customer;
    Request.Host = drawHost(Scenario, Hosts, Random);
    if (Stream.Kind == load_kind::Completion)
      drawContent(Request, Common, Scenario, Popularity, Seconds, Random);
    Plan.push_back(Request);
  }
}

std::vector<planned_request> planArrivals(const load_scenarios &Common,
                                          const load_scenario &Scenario,
                                          std::uint32_t Hosts) {
  std::vector<planned_request> Plan;
  for (const arrival_stream &Stream : listStreams(Common, Scenario))
    planStream(Plan, Stream, Common, Scenario, Hosts);
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const planned_request &Left, const planned_request &Right) {
        return Left.At < Right.At;
      });
  for (std::size_t Index = 0; Index < Plan.size(); ++Index)
    Plan[Index].Number = Index;
  return Plan;
}

} // namespace spindle
