// Drives the queue of one host with seeded arrivals and a virtual clock, under
// each policy, and prints the waits as Markdown tables.

#include "LibLoad/percentile.h"
#include "LibScheduling/fair_queue.h"

#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>
#include <string>

using namespace spindle;

namespace {

constexpr int CustomerCount = 5;
/// Nine engines with sixteen batch slots each, shared by seven hosts.
constexpr int Slots = 9 * 16 / 7;
constexpr double RunSeconds = 1'800;
/// Waits before this are left out, as the queue is filling.
constexpr double WarmUpSeconds = 120;
/// Each customer's part of the load, which also is its weight in percent.
constexpr std::array<int, CustomerCount> Parts{40, 30, 15, 10, 5};

struct class_mix {
  priority_class Class;
  double Part;
  double MeanPrompt;
  double MeanAnswer;
};

constexpr std::array<class_mix, PriorityClassCount> Mix{
    {{priority_class::Rush, 0.10, 1'200, 250},
     {priority_class::Chat, 0.35, 150, 60},
     {priority_class::Plain, 0.40, 1'200, 250},
     {priority_class::Batch, 0.15, 3'000, 500}}};

/// The parameters of one run.
struct scenario {
  std::string Name;
  double Load = 0.8;
  /// The customer that sends more than its part, and how many times its part.
  int Heavy = 2;
  double HeavyTimes = 1;
  queueing_policy Policy = queueing_policy::Fair;
  milliseconds CreditTime = queue_settings{}.CreditTime;
  std::uint64_t Seed = 20261204;
};

struct arrival {
  double Time = 0;
  int Customer = 0;
  priority_class Class = priority_class::Plain;
  std::int64_t Prompt = 0;
  std::int64_t Answer = 0;
};

struct outcome {
  std::vector<double> Waits;
  std::size_t Refused = 0;
};

struct result {
  std::array<outcome, CustomerCount> Customers;
  std::array<outcome, PriorityClassCount> Classes;
  /// The classes of the customer that may send more than its part.
  std::array<outcome, PriorityClassCount> HeavyClasses;
};

double serviceSeconds(const arrival &Arrival) {
  return 0.05 + static_cast<double>(Arrival.Prompt) / 20'000 +
         static_cast<double>(Arrival.Answer) * 0.02;
}

double meanServiceSeconds() {
  double Mean = 0;
  for (const class_mix &Class : Mix)
    Mean += Class.Part *
            (0.05 + Class.MeanPrompt / 20'000 + Class.MeanAnswer * 0.02);
  return Mean;
}

/// Each customer has its own generator, so that one customer's rate changes
/// nothing in the arrivals of the others.
std::vector<arrival> makeArrivals(const scenario &Scenario) {
  const double Total = Scenario.Load * Slots / meanServiceSeconds();
  std::vector<arrival> Arrivals;
  for (int Customer = 0; Customer < CustomerCount; ++Customer) {
    std::mt19937_64 Random(Scenario.Seed * 16 + Customer);
    const double Times = Customer == Scenario.Heavy ? Scenario.HeavyTimes : 1;
    std::exponential_distribution<double> Gap(Total * Parts[Customer] / 100 *
                                              Times);
    std::discrete_distribution<int> Class(
        {Mix[0].Part, Mix[1].Part, Mix[2].Part, Mix[3].Part});
    for (double Time = Gap(Random); Time < RunSeconds; Time += Gap(Random)) {
      const class_mix &Chosen = Mix[Class(Random)];
      std::gamma_distribution<double> Prompt(2, Chosen.MeanPrompt / 2);
      std::gamma_distribution<double> Answer(2, Chosen.MeanAnswer / 2);
      Arrivals.push_back({Time, Customer, Chosen.Class,
                          1 + static_cast<std::int64_t>(Prompt(Random)),
                          1 + static_cast<std::int64_t>(Answer(Random))});
    }
  }
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const arrival &Left, const arrival &Right) {
              return Left.Time < Right.Time;
            });
  return Arrivals;
}

time_point at(double Seconds) {
  return time_point(nanoseconds(static_cast<std::int64_t>(Seconds * 1e9)) +
                    seconds(1));
}

/// A host's queue in front of a fixed number of slots.
class driven_queue {
public:
  explicit driven_queue(const scenario &Scenario) : Heavy(Scenario.Heavy) {
    queue_settings Settings;
    Settings.Policy = Scenario.Policy;
    Settings.CreditTime = Scenario.CreditTime;
    std::vector<customer_weight> Weights;
    Weights.reserve(CustomerCount);
    for (int Customer = 0; Customer < CustomerCount; ++Customer)
      Weights.push_back(
          {idOf(Customer), static_cast<std::uint32_t>(Parts[Customer])});
    configureQueue(Queue, Settings, Weights);
  }

  result run(const std::vector<arrival> &Arrivals) {
    for (const arrival &Arrival : Arrivals) {
      finishUntil(Arrival.Time);
      offer(Arrival);
    }
    finishUntil(2 * RunSeconds);
    return Result;
  }

private:
  static customer_id idOf(int Customer) {
    return customer_id::ofName("customer" + std::to_string(Customer));
  }

  void note(const arrival &Arrival, double Wait) {
    if (Arrival.Time < WarmUpSeconds)
      return;
    Result.Customers[Arrival.Customer].Waits.push_back(Wait);
    const int Class = static_cast<int>(Arrival.Class);
    Result.Classes[Class].Waits.push_back(Wait);
    if (Arrival.Customer == Heavy)
      Result.HeavyClasses[Class].Waits.push_back(Wait);
  }

  void refuse(const arrival &Arrival) {
    if (Arrival.Time < WarmUpSeconds)
      return;
    ++Result.Customers[Arrival.Customer].Refused;
    const int Class = static_cast<int>(Arrival.Class);
    ++Result.Classes[Class].Refused;
    if (Arrival.Customer == Heavy)
      ++Result.HeavyClasses[Class].Refused;
  }

  void offer(const arrival &Arrival) {
    const time_point Now = at(Arrival.Time);
    const tokens Cost{Arrival.Prompt + Arrival.Answer};
    if (static_cast<int>(Ends.size()) < Slots && waitingCount(Queue) == 0) {
      chargeStart(Queue, idOf(Arrival.Customer), Cost, Now);
      Ends.push(Arrival.Time + serviceSeconds(Arrival));
      note(Arrival, 0);
      return;
    }
    const waiting_request Request{
        0,
        idOf(Arrival.Customer),
        Arrival.Class,
        Cost,
        Now,
        queueDeadline(Queue.Settings, Arrival.Class, Now)};
    if (refusalOf(Queue, Request, Now)) {
      refuse(Arrival);
      return;
    }
    Waiting[pushRequest(Queue, Request)] = Arrival;
  }

  void finishUntil(double Time) {
    while (!Ends.empty() && Ends.top() <= Time) {
      const double Now = Ends.top();
      Ends.pop();
      while (const std::optional<waiting_request> Late =
                 popExpired(Queue, at(Now)))
        refuse(Waiting[Late->Sequence]);
      const std::optional<waiting_request> Next = popRequest(Queue, at(Now));
      if (!Next)
        continue;
      const arrival &Arrival = Waiting[Next->Sequence];
      Ends.push(Now + serviceSeconds(Arrival));
      note(Arrival, Now - Arrival.Time);
    }
  }

  const int Heavy;
  fair_queue Queue;
  std::unordered_map<std::uint64_t, arrival> Waiting;
  std::priority_queue<double, std::vector<double>, std::greater<>> Ends;
  result Result;
};

result runScenario(const scenario &Scenario) {
  return driven_queue(Scenario).run(makeArrivals(Scenario));
}

double refusedPercent(const outcome &Outcome) {
  const double All =
      static_cast<double>(Outcome.Waits.size() + Outcome.Refused);
  return All == 0 ? 0 : 100.0 * static_cast<double>(Outcome.Refused) / All;
}

/// The measures of one run that policies are judged by.
struct verdict {
  double OthersP99 = 0;
  double WorstAgainstMedian = 0;
  double WorstOtherAgainstMedian = 0;
};

verdict judge(const result &Result, int Heavy) {
  std::vector<double> Tails;
  std::vector<double> Others;
  double WorstOther = 0;
  for (int Customer = 0; Customer < CustomerCount; ++Customer) {
    const std::vector<double> &Waits = Result.Customers[Customer].Waits;
    Tails.push_back(percentile(Waits, 0.99));
    if (Customer == Heavy)
      continue;
    WorstOther = std::max(WorstOther, Tails.back());
    Others.insert(Others.end(), Waits.begin(), Waits.end());
  }
  std::sort(Tails.begin(), Tails.end());
  const double Median = Tails[CustomerCount / 2];
  return {percentile(Others, 0.99), Tails.back() / Median, WorstOther / Median};
}

/// Runs that a verdict is the mean of, each with a seed of its own.
constexpr int Seeds = 8;

void addVerdict(verdict &Mean, const verdict &One) {
  Mean.OthersP99 += One.OthersP99 / Seeds;
  Mean.WorstAgainstMedian += One.WorstAgainstMedian / Seeds;
  Mean.WorstOtherAgainstMedian += One.WorstOtherAgainstMedian / Seeds;
}

void printClasses(const char *Title,
                  const std::array<outcome, PriorityClassCount> &Classes) {
  std::printf("\n| %s | p50 wait s | p99 wait s | longest s | refused %% |\n"
              "| --- | ---: | ---: | ---: | ---: |\n",
              Title);
  const std::array<const char *, PriorityClassCount> Names{"rush", "chat",
                                                           "plain", "batch"};
  for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
    const outcome &Outcome = Classes[Class];
    std::printf("| %s | %.3f | %.3f | %.3f | %.2f |\n", Names[Class],
                percentile(Outcome.Waits, 0.5), percentile(Outcome.Waits, 0.99),
                percentile(Outcome.Waits, 1), refusedPercent(Outcome));
  }
}

void printCustomers(const scenario &Scenario, const result &Result) {
  std::printf("\n### %s\n\n", Scenario.Name.c_str());
  std::printf("| customer | part %% | p50 wait s | p99 wait s | refused %% |\n"
              "| --- | ---: | ---: | ---: | ---: |\n");
  for (int Customer = 0; Customer < CustomerCount; ++Customer) {
    const outcome &Outcome = Result.Customers[Customer];
    std::printf("| %d%s | %d | %.3f | %.3f | %.2f |\n", Customer,
                Customer == Scenario.Heavy && Scenario.HeavyTimes > 1
                    ? " (over its rate)"
                    : "",
                Parts[Customer], percentile(Outcome.Waits, 0.5),
                percentile(Outcome.Waits, 0.99), refusedPercent(Outcome));
  }
  printClasses("class", Result.Classes);
  if (Scenario.HeavyTimes > 1)
    printClasses("class of the customer over its rate", Result.HeavyClasses);
}

void comparePolicy(const char *Name, queueing_policy Policy,
                   milliseconds CreditTime) {
  for (const int Heavy : {4, 2, 0}) {
    verdict Before;
    verdict After;
    for (int Seed = 0; Seed < Seeds; ++Seed) {
      scenario Scenario{"", 0.8, Heavy, 1, Policy, CreditTime};
      Scenario.Seed += Seed;
      addVerdict(Before, judge(runScenario(Scenario), Heavy));
      Scenario.HeavyTimes = 4;
      addVerdict(After, judge(runScenario(Scenario), Heavy));
    }
    std::printf("| %s | %d | %.3f | %.3f | %.2f | %.2f | %.2f |\n", Name,
                Parts[Heavy], Before.OthersP99, After.OthersP99,
                After.OthersP99 / Before.OthersP99, Before.WorstAgainstMedian,
                After.WorstOtherAgainstMedian);
  }
}

} // namespace

int main() {
  std::printf("%d slots, mean service %.2f s, %.0f s a run\n\n", Slots,
              meanServiceSeconds(), RunSeconds);
  std::printf(
      "| policy | part of the customer at 4x %% | others' p99 wait "
      "without s | with s | ratio | worst customer p99 / median, without "
      "| worst other p99 / median, with |\n"
      "| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  comparePolicy("fair, no credit", queueing_policy::Fair, milliseconds(0));
  comparePolicy("fair, 10 s", queueing_policy::Fair, seconds(10));
  comparePolicy("fair, 20 s", queueing_policy::Fair, seconds(20));
  comparePolicy("fair, 30 s", queueing_policy::Fair, seconds(30));
  comparePolicy("fair, 60 s", queueing_policy::Fair, seconds(60));
  comparePolicy("fifo", queueing_policy::Fifo, milliseconds(0));
  for (const queueing_policy Policy :
       {queueing_policy::Fair, queueing_policy::Fifo}) {
    const std::string Name = Policy == queueing_policy::Fair ? "fair" : "fifo";
    for (const scenario &Scenario :
         {scenario{Name + ", 80% load", 0.8, 2, 1, Policy},
          scenario{Name + ", 80% load and one customer at 4x", 0.8, 2, 4,
                   Policy},
          scenario{Name + ", 130% load", 1.3, 2, 1, Policy}})
      printCustomers(Scenario, runScenario(Scenario));
  }
  return 0;
}
