#include "LibScheduling/prompt_queue.h"

#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

const time_point Start{seconds(100)};
const upstream_id Engine = upstream_id::ofName("e1");

waiting_prompt prompt(milliseconds OnTime, int Urgency = 0,
                      const char *Customer = "c") {
  return {{Urgency, customer_id::ofName(Customer)},
          Engine,
          milliseconds(200),
          Start + OnTime,
          Start + seconds(4)};
}

/// The ticket of the request that goes first; none if none waits.
std::optional<std::uint64_t> first(const prompt_queue &Queue, time_point Now) {
  for (const auto &[Ticket, Prompt] : Queue.Waiting)
    if (hasPriority(Queue, Ticket, Prompt, Now))
      return Ticket;
  return std::nullopt;
}

/// Replays a burst in which an engine is asked for \p Excess times as much as
/// it reads, in order of arrival or by the queue; returns the part in time.
double partInTime(bool Ordered, int Excess) {
  prompt_queue Queue;
  int InTime = 0;
  int Sent = 0;
  constexpr int Prompts = 60;
  for (int Step = 0; Step < Prompts * Excess; ++Step) {
    const time_point Now = Start + milliseconds(200) * Step / Excess;
    waiting_prompt Arriving = prompt(milliseconds(0));
    Arriving.OnTimeUntil = Now + milliseconds(1'000);
    enterQueue(Queue, Arriving);
    if (Step % Excess != 0)
      continue;
    const std::uint64_t Next =
        Ordered ? *first(Queue, Now) : Queue.Waiting.begin()->first;
    InTime += isLate(Queue.Waiting.at(Next), Now) ? 0 : 1;
    ++Sent;
    noteSent(Queue, Next);
    leaveQueue(Queue, Next);
  }
  return static_cast<double>(InTime) / Sent;
}

} // namespace

TEST_CASE("requests that can be in time go before late ones") {
  prompt_queue Queue;
  const std::uint64_t Late = enterQueue(Queue, prompt(milliseconds(100)));
  const std::uint64_t OnTime = enterQueue(Queue, prompt(milliseconds(900)));
  REQUIRE(first(Queue, Start) == OnTime);
  leaveQueue(Queue, OnTime);
  REQUIRE(first(Queue, Start) == Late);
}

TEST_CASE("urgent requests go first, and those for other engines don't count") {
  prompt_queue Queue;
  enterQueue(Queue, prompt(milliseconds(500), 2));
  const std::uint64_t Urgent = enterQueue(Queue, prompt(milliseconds(900), 1));
  waiting_prompt Elsewhere = prompt(milliseconds(300), 0);
  Elsewhere.Engine = upstream_id::ofName("e2");
  enterQueue(Queue, Elsewhere);
  REQUIRE(hasPriority(Queue, Urgent, Queue.Waiting.at(Urgent), Start));
}

// Guards against a burst in which every prompt waits its turn and all are late.
TEST_CASE("burst: what an engine can read is in time, not all late") {
  const double Ordered = partInTime(true, 2);
  const double ByArrival = partInTime(false, 2);
  CAPTURE(Ordered, ByArrival);
  CHECK(Ordered == 1);
  CHECK(ByArrival < 0.5);
}

// Guards against a customer that asks for much and leaves nothing to others.
TEST_CASE("hot customer: one that asks for little is not pushed aside") {
  prompt_queue Queue;
  for (int Number = 0; Number < 50; ++Number)
    enterQueue(Queue, prompt(milliseconds(2'000), 0, "hot"));
  const std::uint64_t Small =
      enterQueue(Queue, prompt(milliseconds(2'000), 0, "small"));
  int Grants = 0;
  for (std::uint64_t Next = 0; Next != Small; ++Grants) {
    Next = *first(Queue, Start);
    noteSent(Queue, Next);
    leaveQueue(Queue, Next);
  }
  REQUIRE(Grants <= 3);
}

// Guards against a less urgent kind that waits forever behind an urgent one.
TEST_CASE("nobody starves, and no request has two places") {
  rc::check([](const std::vector<std::uint8_t> &Steps) {
    prompt_queue Queue;
    const std::uint64_t Least =
        enterQueue(Queue, prompt(seconds(100), 9, "least"));
    int Others = 0;
    for (const std::uint8_t Step : Steps) {
      enterQueue(Queue, prompt(seconds(100), Step % 3, "urgent"));
      enterQueue(Queue, prompt(seconds(100), Step % 3, "other"));
      const std::uint64_t Next = *first(Queue, Start);
      noteSent(Queue, Next);
      leaveQueue(Queue, Next);
      if (Next == Least)
        break;
      ++Others;
      RC_ASSERT(Others < 4 * static_cast<int>(UrgentGrantsPerTurn) + 4);
    }
  });
}
