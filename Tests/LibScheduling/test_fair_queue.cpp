#include "LibScheduling/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

constexpr int CustomerCount = 4;

customer_id customerOf(int Index) {
  return customer_id::ofName("customer" + std::to_string(Index));
}

/// A queue and a list of the requests that it should hold.
struct checked_queue {
  fair_queue Queue;
  std::vector<waiting_request> Waiting;
  time_point Now{seconds(1'000)};
  std::size_t Pushed = 0;
  std::size_t Ended = 0;
  /// Tokens served to each customer, and the part of them that went to aged
  /// requests.
  std::map<customer_id, double> Served;
  std::map<customer_id, double> Aged;
  double LargestCost = 0;

  time_point rankOf(const waiting_request &Request) const {
    return Request.Enqueued +
           static_cast<int>(Request.Priority) * Queue.Settings.AgeingStep;
  }

  void pushChecked(customer_id Customer, priority_class Class,
                   std::int64_t Cost, milliseconds Slack) {
    waiting_request Request{0, Customer, Class, {Cost}, Now, Now + Slack};
    const auto CustomerRequests = std::count_if(
        Waiting.begin(), Waiting.end(), [&](const waiting_request &Other) {
          return Other.Customer == Customer;
        });
    const std::optional<result_code> Refusal = refusalOf(Queue, Request, Now);
    RC_ASSERT((Refusal == result_code::QueueFull) ==
              (CustomerRequests >= Queue.Settings.QueueLimit));
    if (Refusal)
      return;
    Request.Sequence = pushRequest(Queue, Request);
    Waiting.push_back(Request);
    ++Pushed;
  }

  void removeChecked(std::uint64_t Sequence) {
    const auto Count =
        std::erase_if(Waiting, [&](const waiting_request &Request) {
          return Request.Sequence == Sequence;
        });
    RC_ASSERT(Count == 1);
    ++Ended;
  }

  void popAllExpired() {
    while (const std::optional<waiting_request> Expired =
               popExpired(Queue, Now)) {
      RC_ASSERT(Expired->Deadline <= Now);
      removeChecked(Expired->Sequence);
    }
    for (const waiting_request &Request : Waiting)
      RC_ASSERT(Request.Deadline > Now);
  }

  void popChecked() {
    const bool AnyUnexpired = std::any_of(
        Waiting.begin(), Waiting.end(),
        [&](const waiting_request &Request) { return Request.Deadline > Now; });
    const std::optional<waiting_request> Next = popRequest(Queue, Now);
    RC_ASSERT(Next.has_value() == AnyUnexpired);
    if (!Next)
      return;
    RC_ASSERT(Next->Deadline > Now);
    bool IsHighest = true;
    bool IsOldest = true;
    for (const waiting_request &Other : Waiting) {
      if (Other.Customer != Next->Customer || Other.Deadline <= Now)
        continue;
      IsHighest = IsHighest && Next->Priority <= Other.Priority;
      IsOldest = IsOldest && rankOf(*Next) <= rankOf(Other);
      if (Next->Priority == Other.Priority)
        RC_ASSERT(Next->Enqueued <= Other.Enqueued);
    }
    RC_ASSERT(IsHighest || IsOldest);
    const double Cost = static_cast<double>(Next->Cost.Count);
    LargestCost = std::max(LargestCost, Cost);
    Served[Next->Customer] += Cost;
    if (!IsHighest)
      Aged[Next->Customer] += Cost;
    RC_ASSERT(Aged[Next->Customer] <=
              Queue.Settings.AgedShare * Served[Next->Customer] + LargestCost);
    removeChecked(Next->Sequence);
  }
};

} // namespace

TEST_CASE("no request is lost, and a customer's order is kept") {
  rc::prop("every request starts in order, or is refused by its deadline", [] {
    checked_queue Checked;
    Checked.Queue.Settings.QueueLimit = 12;
    const int Steps = *rc::gen::inRange(50, 300);
    for (int Step = 0; Step < Steps; ++Step) {
      const int Action = *rc::gen::inRange(0, 10);
      if (Action < 5)
        Checked.pushChecked(
            customerOf(*rc::gen::inRange(0, CustomerCount)),
            static_cast<priority_class>(*rc::gen::inRange(0, 4)),
            *rc::gen::inRange(1, 2'000),
            milliseconds(*rc::gen::inRange(1, 20'000)));
      else if (Action < 7)
        Checked.popChecked();
      else if (Action == 7)
        Checked.Now += milliseconds(*rc::gen::inRange(0, 3'000));
      else if (Action == 8)
        Checked.popAllExpired();
      else if (!Checked.Waiting.empty()) {
        const std::uint64_t Sequence = Checked.Waiting.front().Sequence;
        RC_ASSERT(cancelRequest(Checked.Queue, Sequence));
        RC_ASSERT(!cancelRequest(Checked.Queue, Sequence));
        Checked.removeChecked(Sequence);
      }
      RC_ASSERT(waitingCount(Checked.Queue) == Checked.Waiting.size());
    }
    Checked.Now += seconds(60);
    Checked.popAllExpired();
    RC_ASSERT(Checked.Pushed == Checked.Ended);
    RC_ASSERT(Checked.Queue.Backlogged.empty());
    RC_ASSERT(std::abs(Checked.Queue.BackloggedWeight) < 1e-9);
  });
}

TEST_CASE("backlogged customers are served in proportion to their weights") {
  rc::prop("served tokens differ by at most one request for each weight", [] {
    constexpr std::int64_t MaxCost = 1'000;
    fair_queue Queue;
    Queue.Settings.QueueLimit = 1'000;
    Queue.Settings.CreditTime = milliseconds(0);
    std::vector<customer_weight> Weights;
    Weights.reserve(CustomerCount);
    for (int Index = 0; Index < CustomerCount; ++Index)
      Weights.push_back({customerOf(Index),
                         static_cast<std::uint32_t>(*rc::gen::inRange(1, 9))});
    configureQueue(Queue, Queue.Settings, Weights);
    const time_point Now{seconds(1)};
    std::vector<double> Served(CustomerCount, 0);
    const auto PushTo = [&](int Index) {
      const std::int64_t Cost = *rc::gen::inRange<std::int64_t>(1, MaxCost + 1);
      pushRequest(Queue, {0,
                          customerOf(Index),
                          priority_class::Plain,
                          {Cost},
                          Now,
                          Now + seconds(100)});
    };
    // The first customer is served alone for a while; the others are idle and
    // must not gain credit from that.
    const int ServedAlone = *rc::gen::inRange(0, 20);
    for (int Count = 0; Count < ServedAlone; ++Count) {
      PushTo(0);
      popRequest(Queue, Now);
    }
    for (int Count = 0; Count < 200; ++Count) {
      for (int Index = 0; Index < CustomerCount; ++Index) {
        const auto Flow = Queue.Flows.find(customerOf(Index));
        if (Flow == Queue.Flows.end() || Flow->second.Count < 2)
          PushTo(Index);
      }
      const std::optional<waiting_request> Next = popRequest(Queue, Now);
      for (int Index = 0; Index < CustomerCount; ++Index)
        if (Next->Customer == customerOf(Index))
          Served[Index] +=
              static_cast<double>(Next->Cost.Count) / Weights[Index].Weight;
      for (int Left = 0; Left < CustomerCount; ++Left)
        for (int Right = 0; Right < CustomerCount; ++Right)
          RC_ASSERT(Served[Left] - Served[Right] <=
                    MaxCost * (1.0 / Weights[Left].Weight +
                               1.0 / Weights[Right].Weight));
    }
  });
}

static fair_queue queueServedAt(double TokensPerSecond, time_point &Now) {
  fair_queue Queue;
  for (int Count = 0; Count < 40; ++Count) {
    const customer_id Customer = customerOf(0);
    pushRequest(
        Queue,
        {0, Customer, priority_class::Rush, {100}, Now, Now + seconds(100)});
    pushRequest(
        Queue,
        {0, Customer, priority_class::Rush, {100}, Now, Now + seconds(100)});
    for (int Start = 0; Start < 2; ++Start) {
      Now += nanoseconds(static_cast<std::int64_t>(1e11 / TokensPerSecond));
      popRequest(Queue, Now);
    }
  }
  return Queue;
}

TEST_CASE("a request that can't start before its deadline is refused") {
  time_point Now{seconds(1)};
  fair_queue Queue = queueServedAt(1'000, Now);
  for (int Count = 0; Count < 50; ++Count)
    pushRequest(Queue, {0,
                        customerOf(0),
                        priority_class::Plain,
                        {100},
                        Now,
                        Now + seconds(100)});
  waiting_request Candidate{0,     customerOf(0), priority_class::Plain,
                            {100}, Now,           Now + milliseconds(4'500)};
  CHECK(refusalOf(Queue, Candidate, Now) == result_code::DeadlineUnreachable);
  Candidate.Deadline = Now + milliseconds(5'500);
  CHECK(refusalOf(Queue, Candidate, Now) == std::nullopt);
  SECTION("a request of a higher class has nothing ahead of it") {
    const waiting_request Rush{0,     customerOf(0), priority_class::Rush,
                               {100}, Now,           Now + milliseconds(10)};
    CHECK(refusalOf(Queue, Rush, Now) == std::nullopt);
  }
  SECTION("another customer gets half of the service") {
    pushRequest(Queue, {0,
                        customerOf(1),
                        priority_class::Plain,
                        {1'000},
                        Now,
                        Now + seconds(100)});
    waiting_request Other{0,     customerOf(1), priority_class::Plain,
                          {100}, Now,           Now + milliseconds(1'900)};
    CHECK(refusalOf(Queue, Other, Now) == result_code::DeadlineUnreachable);
    Other.Deadline = Now + milliseconds(2'100);
    CHECK(refusalOf(Queue, Other, Now) == std::nullopt);
  }
}

TEST_CASE("continuous rush requests do not starve a batch request") {
  fair_queue Queue;
  Queue.Settings.RefuseEarly = false;
  Queue.Settings.QueueLimit = 10'000;
  const time_point Start{seconds(1)};
  const std::uint64_t Batch = pushRequest(Queue, {0,
                                                  customerOf(0),
                                                  priority_class::Batch,
                                                  {100},
                                                  Start,
                                                  Start + seconds(60)});
  time_point Now = Start;
  while (true) {
    // Two rush requests arrive for each that is served.
    Now += milliseconds(100);
    for (int Count = 0; Count < 2; ++Count)
      pushRequest(Queue, {0,
                          customerOf(0),
                          priority_class::Rush,
                          {100},
                          Now,
                          Now + seconds(60)});
    if (popRequest(Queue, Now)->Sequence == Batch)
      break;
    // Half of the rush requests are still waiting when the batch request has
    // aged past the first of them.
    REQUIRE(Now <= Start + 2 * 3 * Queue.Settings.AgeingStep);
  }
  CHECK(Now > Start + 3 * Queue.Settings.AgeingStep);
}

TEST_CASE("an idle customer's credit is limited to CreditTime") {
  fair_queue Queue;
  time_point Now{seconds(1)};
  Queue.Settings.CreditTime = seconds(30);
  const auto Push = [&](int Index) {
    pushRequest(Queue, {0,
                        customerOf(Index),
                        priority_class::Plain,
                        {100},
                        Now,
                        Now + seconds(1'000)});
  };
  // One customer alone is served 10 requests per second for 300 seconds.
  for (int Count = 0; Count < 3'000; ++Count) {
    Now += milliseconds(100);
    Push(0);
    popRequest(Queue, Now);
  }
  for (int Count = 0; Count < 700; ++Count)
    for (const int Index : {0, 1})
      if (Count < 200 || Index == 1)
        Push(Index);
  int First = 0;
  while (popRequest(Queue, Now)->Customer == customerOf(1))
    ++First;
  // The requests served in 30 seconds, and in one sample interval more.
  CHECK(First >= 300);
  CHECK(First <= 330);
}

TEST_CASE("fifo ignores customers and classes") {
  fair_queue Queue;
  Queue.Settings.Policy = queueing_policy::Fifo;
  const time_point Now{seconds(1)};
  for (int Count = 0; Count < 3; ++Count)
    pushRequest(Queue, {0,
                        customerOf(Count % 2),
                        priority_class(3 - Count),
                        {10},
                        Now + milliseconds(Count),
                        Now + seconds(9)});
  SECTION("requests start in the order of arrival") {
    for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence)
      CHECK(popRequest(Queue, Now)->Sequence == Sequence);
  }
  SECTION("a change of policy reorders waiting requests") {
    configureQueue(Queue, {}, {});
    // Neither has been served, so the smaller customer id goes first.
    CHECK(popRequest(Queue, Now)->Customer ==
          std::min(customerOf(0), customerOf(1)));
    CHECK(waitingCount(Queue) == 2);
  }
}

TEST_CASE("settling credits what a request did not use") {
  fair_queue Queue;
  const time_point Now{seconds(1)};
  for (int Count = 0; Count < 4; ++Count)
    for (int Index = 0; Index < 2; ++Index)
      pushRequest(Queue, {0,
                          customerOf(Index),
                          priority_class::Plain,
                          {100},
                          Now,
                          Now + seconds(9)});
  const customer_id First = popRequest(Queue, Now)->Customer;
  const customer_id Second = popRequest(Queue, Now)->Customer;
  REQUIRE(First != Second);
  settleCharge(Queue, Second, {100}, {1});
  CHECK(popRequest(Queue, Now)->Customer == Second);
}
