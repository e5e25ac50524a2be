#include "LibHost/dispatch_queue.h"
#include "LibRuntime/completion.h"
#include "LibRuntime/fiber_runtime.h"

#include <atomic>

#include <mutex>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

static const customer_id CustomerA = customer_id::ofName("a");
static const customer_id CustomerB = customer_id::ofName("b");

namespace {

/// A dispatch queue on a paused clock, and fibers that enter it.
struct queue_fixture {
  queue_fixture() { Clock.pause(); }

  runtime_clock Clock;
  dispatch_queue Queue{Clock, nullptr, {{}, 1}};
  std::mutex Mutex;
  std::vector<int> Started;
  std::vector<result_code> Refused;
  fiber_runtime Runtime{3};

  /// Spawns a fiber that enters the queue, records \p Name when it starts and
  /// leaves at once. Returns once the fiber waits.
  void spawnEntrant(int Name, customer_id Customer, priority_class Class) {
    const std::size_t Waiting = Queue.waiting();
    Runtime.spawn([this, Name, Customer, Class] {
      try {
        const queue_ticket Ticket =
            Queue.enter(Customer, Class, {100}, Queue.deadlineFor(Class));
        const std::lock_guard<std::mutex> Lock(Mutex);
        Started.push_back(Name);
      } catch (const spindle_error &Error) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Refused.push_back(Error.code());
      }
    });
    while (Queue.waiting() == Waiting)
      std::this_thread::yield();
    Clock.advance(milliseconds(1));
  }

  void awaitIdle() {
    while (Queue.running() > 0 || Queue.waiting() > 0)
      std::this_thread::yield();
    Runtime.runBlocking([] {});
  }
};

} // namespace

TEST_CASE("waiting fibers start in the queue's order as tickets are released") {
  queue_fixture Fixture;
  queue_ticket First;
  Fixture.Runtime.runBlocking([&] {
    First = Fixture.Queue.enter(CustomerA, priority_class::Plain, {100},
                                Fixture.Clock.now() + seconds(1));
  });
  REQUIRE(Fixture.Queue.running() == 1);
  Fixture.spawnEntrant(1, CustomerA, priority_class::Plain);
  Fixture.spawnEntrant(2, CustomerA, priority_class::Rush);
  Fixture.spawnEntrant(3, CustomerB, priority_class::Plain);
  CHECK(Fixture.Queue.running() == 1);
  First.release();
  Fixture.awaitIdle();
  const std::lock_guard<std::mutex> Lock(Fixture.Mutex);
  // Customer B has not been served yet; within customer A, rush goes first.
  CHECK(Fixture.Started == std::vector<int>{3, 2, 1});
}

TEST_CASE("a request whose deadline has passed is refused") {
  queue_fixture Fixture;
  queue_ticket First;
  Fixture.Runtime.runBlocking([&] {
    First = Fixture.Queue.enter(CustomerA, priority_class::Plain, {100},
                                Fixture.Clock.now() + seconds(1));
  });
  Fixture.spawnEntrant(1, CustomerA, priority_class::Rush);
  Fixture.Clock.advance(seconds(10));
  Fixture.Queue.refuseExpired();
  while (true) {
    const std::lock_guard<std::mutex> Lock(Fixture.Mutex);
    if (!Fixture.Refused.empty())
      break;
  }
  CHECK(Fixture.Refused.front() == result_code::DeadlineUnreachable);
  CHECK(Fixture.Started.empty());
  CHECK(Fixture.Queue.running() == 1);
}

TEST_CASE("capacity is neither exceeded nor leaked on several threads") {
  const runtime_clock Clock;
  dispatch_queue Queue(Clock, nullptr, {{}, 3});
  std::atomic<int> Running{0};
  std::atomic<int> MaxSeen{0};
  std::atomic<int> Ended{0};
  constexpr int Fibers = 400;
  {
    fiber_runtime Runtime(4);
    std::vector<completion<int>> Done(Fibers);
    for (int Index = 0; Index < Fibers; ++Index)
      Runtime.spawn([&, Index, Deliver = Done[Index].deliverer()] {
        const customer_id Customer = Index % 2 == 0 ? CustomerA : CustomerB;
        queue_ticket Ticket = Queue.enter(Customer, priority_class::Plain,
                                          {Index}, Clock.now() + seconds(100));
        const int Now = ++Running;
        int Seen = MaxSeen.load();
        while (Seen < Now && !MaxSeen.compare_exchange_weak(Seen, Now)) {
        }
        sleepFor(std::chrono::microseconds(50));
        --Running;
        Ticket.settle({1});
        ++Ended;
        Ticket.release();
        Deliver(0);
      });
    for (completion<int> &Fiber : Done)
      Fiber.wait();
  }
  CHECK(Ended == Fibers);
  CHECK(MaxSeen <= 3);
  CHECK(Queue.running() == 0);
  CHECK(Queue.waiting() == 0);
}

TEST_CASE("the configuration sets limits, and engine load the capacity") {
  runtime_clock Clock;
  Clock.pause();
  dispatch_queue Queue(Clock, nullptr, {{}, 1});
  intent Intent;
  Intent.Policy.QueueLimit = 1;
  Intent.Policy.QueueTimeout = milliseconds(700);
  Queue.applyConfiguration(configuration_snapshot(1, Intent));
  CHECK(Queue.deadlineFor(priority_class::Rush) ==
        Clock.now() + milliseconds(700));
  Queue.noteEngineLoad({144, 20, 0}, 7);
  CHECK(Queue.capacity() == 20);
  Queue.setCapacity(0);
  CHECK(Queue.capacity() == 1);
}
