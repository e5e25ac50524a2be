#include "LibRuntime/completion.h"
#include "LibRuntime/fiber_runtime.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("fibers run on every thread of the runtime") {
  fiber_runtime Runtime(3);
  std::atomic<int> Seen{0};
  for (std::size_t Index = 0; Index < 3; ++Index) {
    completion<int> Done;
    Runtime.spawnOn(Index, [Index, &Seen, Deliver = Done.deliverer()] {
      if (currentThreadIndex() == Index)
        ++Seen;
      Deliver(0);
    });
    Done.wait();
  }
  REQUIRE(Seen == 3);
}

TEST_CASE("a fiber waits for a value that another thread delivers") {
  fiber_runtime Runtime(1);
  completion<int> Value;
  completion<int> Result;
  Runtime.spawn(
      [&Value, Deliver = Result.deliverer()] { Deliver(Value.wait() + 1); });
  std::thread Other([Deliver = Value.deliverer()] { Deliver(41); });
  REQUIRE(Result.wait() == 42);
  Other.join();
}

TEST_CASE("runBlocking rethrows what the fiber throws") {
  fiber_runtime Runtime(2);
  REQUIRE_THROWS_AS(
      Runtime.runBlocking([] { throw std::runtime_error("expected"); }),
      std::runtime_error);
}

TEST_CASE("sleeping fibers do not keep others from running") {
  fiber_runtime Runtime(1);
  std::atomic<int> Steps{0};
  completion<int> Slept;
  Runtime.spawn([&Steps, Deliver = Slept.deliverer()] {
    sleepFor(milliseconds(20));
    Deliver(Steps.load());
  });
  Runtime.runBlocking([&Steps] { Steps = 7; });
  REQUIRE(Slept.wait() == 7);
}

TEST_CASE("a wake-up from another thread during a poll is not lost") {
  fiber_runtime Runtime(1);
  completion<int> Value;
  completion<int> Result;
  Runtime.spawn([&Value, Deliver = Result.deliverer()] {
    // Runs in the poll that follows the fiber's suspension.
    boost::asio::post(currentIoContext(), [Wake = Value.deliverer()] {
      std::thread([Wake] { Wake(42); }).join();
    });
    Deliver(Value.wait());
  });
  REQUIRE(Result.waitFor(seconds(10)));
  REQUIRE(Result.wait() == 42);
}

TEST_CASE("an exception that leaves a fiber ends the process") {
  fiber_runtime Runtime(1);
  const std::size_t Before = failedFibers();
  Runtime.spawn([] { throw std::runtime_error("unexpected"); });
  bool Ran = false;
  Runtime.runBlocking([&] { Ran = true; });
  REQUIRE(Ran);
  REQUIRE(failedFibers() == Before + 1);
}
