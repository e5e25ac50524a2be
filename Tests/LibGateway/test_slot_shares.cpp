// Guards against an order of waiting that serves one customer, or one kind of
// request, at the expense of the others while adapter slots are short. Each
// load pattern is replayed without shares and with them.
#include "slot_queue_replay.h"

#include <algorithm>
#include <iostream>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

// The slots serve some 26 requests a second.

/// Twice as many requests as the slots serve, half of them urgent.
std::vector<replay_source> burst(milliseconds UrgentObjective) {
  std::vector<replay_source> Sources;
  for (int Customer = 0; Customer < 4; ++Customer) {
    Sources.push_back({Customer, 0, 7, UrgentObjective});
    Sources.push_back({Customer, 1, 7, milliseconds(2'000)});
  }
  return Sources;
}

/// One customer asks for twenty times as much as each of the others.
std::vector<replay_source> hotCustomer() {
  std::vector<replay_source> Sources{{0, 0, 60}};
  for (int Customer = 1; Customer < 6; ++Customer)
    Sources.push_back({Customer, 0, 3});
  return Sources;
}

/// The same, and its callers return at once when they are refused.
std::vector<replay_source> repeatsAtOnce() {
  std::vector<replay_source> Sources = hotCustomer();
  Sources.front().RepeatsAtOnce = 100;
  return Sources;
}

/// Half of the callers leave long before they are late.
std::vector<replay_source> leavingEarly() {
  std::vector<replay_source> Sources{{0, 0, 25}, {1, 0, 25}};
  Sources.front().LeavesAfter = milliseconds(200);
  return Sources;
}

struct comparison {
  std::vector<replay_outcome> Without;
  std::vector<replay_outcome> With;
};

comparison compare(const std::vector<replay_source> &Sources) {
  return {replay(Sources, {false, milliseconds(0)}),
          replay(Sources, {true, milliseconds(0)})};
}

/// The sum over the sources from \p First on, in steps of \p Every.
replay_outcome sum(const std::vector<replay_outcome> &Outcomes,
                   std::size_t First, std::size_t Every) {
  replay_outcome Sum;
  for (std::size_t Source = First; Source < Outcomes.size(); Source += Every) {
    Sum.Asked += Outcomes[Source].Asked;
    Sum.InTime += Outcomes[Source].InTime;
    Sum.Late += Outcomes[Source].Late;
  }
  return Sum;
}

double leastInTime(const std::vector<replay_outcome> &Outcomes) {
  double Least = 1;
  for (std::size_t Source = 1; Source < Outcomes.size(); ++Source)
    Least = std::min(Least, Outcomes[Source].inTimeShare());
  return Least;
}

void print(const char *Pattern, const std::vector<replay_outcome> &Outcomes,
           std::size_t Every) {
  std::cout << Pattern;
  for (std::size_t First = 0; First < 2; ++First) {
    const replay_outcome Sum = sum(Outcomes, First, Every);
    std::cout << " | served " << Sum.servedShare() << " in time "
              << Sum.inTimeShare();
  }
  std::cout << '\n';
}

} // namespace

TEST_CASE("in a burst the urgent kind is served no less than others") {
  // With an objective of 0 the urgent kind is late from the start, as when
  // engines take longer than its objective.
  for (const milliseconds Objective : {milliseconds(0), milliseconds(300)}) {
    const comparison Result = compare(burst(Objective));
    const replay_outcome Urgent = sum(Result.With, 0, 2);
    const replay_outcome Others = sum(Result.With, 1, 2);
    CHECK(Urgent.servedShare() >= Others.servedShare());
    CHECK(Others.servedShare() > 0.05);
    // A late response is worth less than one in time.
    CHECK(Urgent.inTimeShare() + Others.inTimeShare() > 0.5);
  }
}

TEST_CASE("a customer that asks for much leaves the others their part") {
  const comparison Result = compare(hotCustomer());
  CHECK(leastInTime(Result.With) > 0.95);
  CHECK(leastInTime(Result.Without) < leastInTime(Result.With));
  // No slot is left empty for it.
  CHECK(sum(Result.With, 0, 1).servedShare() >=
        0.98 * sum(Result.Without, 0, 1).servedShare());
}

TEST_CASE("callers that repeat at once gain nothing") {
  const comparison Once = compare(hotCustomer());
  const comparison Repeats = compare(repeatsAtOnce());
  CHECK(leastInTime(Repeats.With) > 0.95);
  CHECK(Repeats.With.front().servedShare() <=
        Once.With.front().servedShare() + 0.01);
}

TEST_CASE("a slot that goes to a caller that has left serves nobody") {
  const std::vector<replay_outcome> Kept =
      replay(leavingEarly(), {true, milliseconds(400)});
  const std::vector<replay_outcome> Removed =
      replay(leavingEarly(), {true, milliseconds(0)});
  CHECK(sum(Removed, 0, 1).servedShare() > sum(Kept, 0, 1).servedShare());
}

TEST_CASE("figures of slots that are short", "[.figures]") {
  // Burst: the urgent and the less urgent; else the first customer, the others.
  for (const int Objective : {0, 300}) {
    const comparison Burst = compare(burst(milliseconds(Objective)));
    print("burst without", Burst.Without, 2);
    print("burst with", Burst.With, 2);
  }
  const comparison Hot = compare(hotCustomer());
  const comparison Repeats = compare(repeatsAtOnce());
  for (const auto &[Name, Result] :
       {std::pair("hot", &Hot), std::pair("repeats", &Repeats)}) {
    std::cout << Name << " first, least of others in time: without "
              << Result->Without.front().servedShare() << ' '
              << leastInTime(Result->Without) << ", with "
              << Result->With.front().servedShare() << ' '
              << leastInTime(Result->With) << '\n';
  }
  print("leaving, place kept 400 ms",
        replay(leavingEarly(), {true, milliseconds(400)}), 2);
  print("leaving, at once", replay(leavingEarly(), {true, milliseconds(0)}), 2);
}

TEST_CASE("a request has at most one place in the queue") {
  rc::prop("the queue holds the tickets that were not given back", [] {
    slot_queue Queue;
    Queue.SharesGrants = *rc::gen::arbitrary<bool>();
    const upstream_id Engine = upstream_id::ofName("e1");
    std::map<std::uint64_t, adapter_name> Tickets;
    for (int Step = 0; Step < 200; ++Step) {
      const time_point Now{seconds(100) + milliseconds(10) * Step};
      const adapter_name Adapter{"m", std::to_string(*rc::gen::inRange(0, 5))};
      const int Action = *rc::gen::inRange(0, 3);
      if (Action == 0) {
        const slot_request Request{{Engine},
                                   Now,
                                   Now,
                                   *rc::gen::inRange(0, 3),
                                   customer_id::ofName(Adapter.Adapter)};
        const std::uint64_t Ticket = enterQueue(Queue, Adapter, Request);
        RC_ASSERT(Tickets.emplace(Ticket, Adapter).second);
      } else if (Action == 1) {
        noteGrant(Queue, Adapter, Engine, Now);
      } else if (!Tickets.empty()) {
        const auto Given = Tickets.begin();
        leaveQueue(Queue, Given->second, Given->first);
        leaveQueue(Queue, Given->second, Given->first);
        Tickets.erase(Given);
      }
      std::size_t Places = 0;
      for (const auto &[Name, Requests] : Queue.Waiting)
        Places += Requests.size();
      RC_ASSERT(Places == Tickets.size());
    }
  });
}
