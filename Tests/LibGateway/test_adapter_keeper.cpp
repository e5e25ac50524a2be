#include "LibCore/result_code.h"
#include "LibGateway/adapter_keeper.h"
#include "LibGateway/fake_engine.h"
#include "LibRuntime/fiber_runtime.h"

#include <atomic>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr std::size_t Capacity = 3;

loaded_adapter adapter(int Number, std::uint64_t Version = 0) {
  return {{"m", "a" + std::to_string(Number)}, Version};
}

/// A keeper over one engine.
struct kept {
  kept() {
    Fleet.applyUpstreams({std::make_shared<upstream_entry>(Engine.entry())});
  }

  adapter_keeper_ports ports() {
    adapter_keeper_ports Ports;
    Ports.Orders = Engine.port();
    Ports.Spawn = [this](std::function<void()> Work) {
      ++Running;
      Runtime.spawn([this, Work = std::move(Work)] {
        Work();
        --Running;
      });
    };
    Ports.Fence = [this](std::string_view) -> std::optional<std::uint64_t> {
      const std::uint64_t Now = Fence.load();
      return Now > 0 ? std::optional(Now) : std::nullopt;
    };
    Ports.OnFenced = [this](std::uint64_t) { Fence.store(0); };
    Ports.NewestVersion = [this](const adapter_name &) {
      return Newest.load();
    };
    Ports.Capacity = [](std::string_view) { return Capacity; };
    Ports.MissingModel = [](std::string_view) { return std::string("m"); };
    Ports.MayLoadModel = [] { return true; };
    Ports.Holder = "h";
    return Ports;
  }

  /// Holds an adapter and returns how it ended.
  std::optional<result_code> hold(const loaded_adapter &Wanted,
                                  milliseconds Limit = milliseconds(5'000)) {
    std::optional<result_code> Failure;
    Runtime.runBlocking([&] {
      const time_point Until = Clock.now() + Limit;
      try {
        if (!Keeper.hold(Wanted, {{Id}, Until, Until, 0}, Until))
          Failure = result_code::AdapterNotLoaded;
      } catch (const spindle_error &Error) {
        Failure = Error.code();
      }
    });
    return Failure;
  }

  ~kept() {
    while (Running.load() > 0)
      sleepFor(milliseconds(5));
  }

  runtime_clock Clock;
  fiber_runtime Runtime{1};
  fake_engine Engine{Clock, "e1", Capacity};
  upstream_id Id = upstream_id::ofName("e1");
  fleet_table Fleet{Clock, "a"};
  std::atomic<std::uint64_t> Fence{5};
  std::atomic<std::uint64_t> Newest{0};
  std::atomic<int> Running{0};
  adapter_keeper Keeper{Clock, Fleet, ports()};
};

} // namespace

TEST_CASE("a held adapter is on the engine") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  REQUIRE(Test.Engine.has(adapter(1).Name));
  REQUIRE(Test.Engine.refusals() == 0);
}

TEST_CASE("no order is refused while an unload waits for running requests") {
  kept Test;
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number)));
  // Nobody told the keeper that this one runs.
  Test.Engine.setRunning(adapter(0).Name, true);
  sleepFor(HoldTerm + milliseconds(100));
  for (int Number = 1; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number)));
  REQUIRE(Test.hold(adapter(7), milliseconds(200)) ==
          result_code::AdapterNotLoaded);
  Test.Engine.setRunning(adapter(0).Name, false);
  REQUIRE_FALSE(Test.hold(adapter(7)));
  REQUIRE(Test.Engine.refusals() == 0);
  REQUIRE_FALSE(Test.Engine.overfilled());
}

TEST_CASE("a replacement that the engine refuses keeps its place") {
  kept Test;
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number, 1)));
  Test.Engine.setRunning(adapter(0).Name, true);
  sleepFor(HoldTerm + milliseconds(100));
  for (int Number = 1; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number, 1)));
  Test.Engine.refuseNext(1);
  Test.hold(adapter(1, 2), milliseconds(50));
  REQUIRE(Test.hold(adapter(7), milliseconds(200)) ==
          result_code::AdapterNotLoaded);
  Test.Engine.setRunning(adapter(0).Name, false);
  for (int Number = 7; Number < 12; ++Number)
    Test.hold(adapter(Number), milliseconds(800));
  REQUIRE_FALSE(Test.Engine.overfilled());
}

TEST_CASE("orders without an answer, also those carried out late, overfill no "
          "engine") {
  kept Test;
  fake_engine_faults Faults;
  Faults.LoseAnswers = 0.4;
  Faults.AppliedLate = milliseconds(300);
  Test.Engine.setFaults(Faults);
  for (int Number = 0; Number < 12; ++Number)
    Test.hold(adapter(Number % 5), milliseconds(900));
  Test.Engine.setFaults({});
  sleepFor(milliseconds(1'500));
  REQUIRE_FALSE(Test.Engine.overfilled());
  REQUIRE_FALSE(Test.hold(adapter(9)));
  REQUIRE(Test.Engine.has(adapter(9).Name));
}

TEST_CASE("a load is not ordered where the engine turns out to be full") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(0)));
  // The lead before this one had these loaded; no report has shown it yet.
  std::uint64_t Count = 1;
  for (const int Number : {5, 6}) {
    adapter_order Order;
    Order.Adapter = adapter(Number);
    Order.Fence = 5;
    Order.ExpectedCount = Count++;
    REQUIRE(Test.Engine.port().Order(Test.Engine.entry(), Order,
                                     milliseconds(100)) ==
            order_outcome::Started);
  }
  sleepFor(milliseconds(100));
  std::atomic<int> Ended{0};
  for (const int Number : {7, 8})
    Test.Runtime.spawn([&Test, &Ended, Number] {
      const time_point Until = Test.Clock.now() + milliseconds(700);
      try {
        Test.Keeper.hold(adapter(Number), {{Test.Id}, Until, Until, 0}, Until);
      } catch (const spindle_error &) {
        ++Ended;
        return;
      }
      ++Ended;
    });
  while (Ended.load() < 2)
    sleepFor(milliseconds(10));
  REQUIRE_FALSE(Test.Engine.overfilled());
}

TEST_CASE("holds are quick again after a time in which loads were slow") {
  kept Test;
  fake_engine_faults Faults;
  Faults.LoadTime = milliseconds(500);
  Test.Engine.setFaults(Faults);
  for (int Number = 0; Number < 8; ++Number)
    Test.hold(adapter(Number), milliseconds(2'000));
  Test.Engine.setFaults({});
  for (int Number = 20; Number < 40; ++Number)
    Test.hold(adapter(Number), milliseconds(2'000));
  sleepFor(HoldTerm + milliseconds(100));
  const time_point Start = Test.Clock.now();
  REQUIRE_FALSE(Test.hold(adapter(50)));
  REQUIRE(Test.Clock.now() - Start < milliseconds(250));
}

TEST_CASE("an engine that does not answer is given up at once") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  fake_engine_faults Faults;
  Faults.Dark = true;
  Test.Engine.setFaults(Faults);
  Test.hold(adapter(2), milliseconds(600));
  const time_point Start = Test.Clock.now();
  REQUIRE(Test.hold(adapter(3)) == result_code::AdapterNotLoaded);
  REQUIRE(Test.Clock.now() - Start < milliseconds(200));
}

TEST_CASE("a host without the zone's fencing token orders nothing") {
  kept Test;
  Test.Fence.store(0);
  REQUIRE(Test.hold(adapter(1)) == result_code::NotOwner);
  REQUIRE_FALSE(Test.Engine.has(adapter(1).Name));
}

TEST_CASE("a keeper that was overtaken stops giving orders") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  adapter_order Order;
  Order.Adapter = adapter(2);
  Order.Fence = 9;
  Test.Engine.port().Order(Test.Engine.entry(), Order, milliseconds(100));
  REQUIRE(Test.hold(adapter(3)) == result_code::NotOwner);
  REQUIRE(Test.Fence.load() == 0);
}

TEST_CASE("an announced version replaces the loaded one") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(1, 1)));
  Test.Newest.store(2);
  Test.Runtime.runBlocking([&] { Test.Keeper.renewVersions(); });
  std::optional<kept_adapter> There;
  Test.Runtime.runBlocking([&] {
    const time_point Until = Test.Clock.now() + seconds(5);
    There =
        Test.Keeper.hold(adapter(1, 2), {{Test.Id}, Until, Until, 0}, Until);
  });
  REQUIRE(There->Adapter.Version == 2);
}

TEST_CASE("an adapter that the engine denies is ordered again") {
  kept Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  adapter_order Order;
  Order.Action = order_action::Unload;
  Order.Adapter = adapter(1);
  Order.Fence = 5;
  Test.Engine.port().Order(Test.Engine.entry(), Order, milliseconds(100));
  REQUIRE_FALSE(Test.Engine.has(adapter(1).Name));
  Test.Runtime.runBlocking(
      [&] { Test.Keeper.noteMissing(Test.Id, adapter(1).Name); });
  REQUIRE_FALSE(Test.hold(adapter(1)));
  REQUIRE(Test.Engine.has(adapter(1).Name));
}

namespace {

constexpr std::size_t FullEngine = 2;

/// A zone's keeper over two engines.
struct kept_zone {
  kept_zone() {
    Fleet.applyUpstreams({std::make_shared<upstream_entry>(One.entry()),
                          std::make_shared<upstream_entry>(Two.entry())});
  }
  ~kept_zone() {
    while (Running.load() > 0)
      sleepFor(milliseconds(5));
  }

  adapter_keeper_ports ports() {
    adapter_keeper_ports Ports;
    Ports.Orders.Order = [this](const upstream_entry &Entry,
                                const adapter_order &Order,
                                milliseconds Limit) {
      return engine(Entry).port().Order(Entry, Order, Limit);
    };
    Ports.Orders.Report = [this](const upstream_entry &Entry,
                                 milliseconds Limit) {
      return engine(Entry).port().Report(Entry, Limit);
    };
    Ports.Spawn = [this](std::function<void()> Work) {
      ++Running;
      Runtime.spawn([this, Work = std::move(Work)] {
        Work();
        --Running;
      });
    };
    Ports.Fence = [](std::string_view) {
      return std::optional<std::uint64_t>(5);
    };
    Ports.OnFenced = [](std::uint64_t) {};
    Ports.NewestVersion = [](const adapter_name &) { return std::uint64_t{0}; };
    Ports.Capacity = [](std::string_view) { return FullEngine; };
    Ports.MissingModel = [](std::string_view) { return std::string("m"); };
    Ports.MayLoadModel = [] { return true; };
    Ports.Holder = "h";
    return Ports;
  }

  fake_engine &engine(const upstream_entry &Entry) {
    return Entry.Name == "e1" ? One : Two;
  }

  slot_request wish(milliseconds OnTime, milliseconds Useful) {
    const time_point Now = Clock.now();
    return {{One.entry().Id, Two.entry().Id}, Now + OnTime, Now + Useful, 0};
  }

  /// Starts to hold an adapter, and tells where it is once it is there.
  void start(const loaded_adapter &Wanted, slot_request Wish,
             std::atomic<int> &Order, int &Came) {
    ++Running;
    Runtime.spawn([this, Wanted, Wish, &Order, &Came] {
      try {
        if (Keeper.hold(Wanted, Wish, Wish.UsefulUntil))
          Came = ++Order;
      } catch (const spindle_error &) {
        Came = 0;
      }
      --Running;
    });
  }

  void fill() {
    for (int Number = 0; Number < 4; ++Number)
      Runtime.runBlocking([&] {
        const slot_request Wish = wish(seconds(5), seconds(5));
        REQUIRE(Keeper.hold(adapter(Number), Wish, Wish.UsefulUntil));
      });
    use({0, 1, 2, 3});
  }

  /// Requests use these adapters now, wherever they are.
  void use(const std::vector<int> &Numbers) {
    std::vector<adapter_use> Uses;
    for (const int Number : Numbers)
      for (const char *const Engine : {"e1", "e2"})
        Uses.push_back({upstream_id::ofName(Engine), adapter(Number).Name});
    Keeper.setInUse(Uses);
  }

  runtime_clock Clock;
  fiber_runtime Runtime{1};
  fake_engine One{Clock, "e1", FullEngine};
  fake_engine Two{Clock, "e2", FullEngine};
  fleet_table Fleet{Clock, "a"};
  std::atomic<int> Running{0};
  adapter_keeper Keeper{Clock, Fleet, ports()};
};

} // namespace

TEST_CASE("a request takes the first place that becomes free in the zone") {
  std::atomic<int> Order{0};
  int Came = 0;
  kept_zone Test;
  Test.fill();
  REQUIRE((Test.One.has(adapter(0).Name) && Test.Two.has(adapter(3).Name)));
  Test.start(adapter(7), Test.wish(seconds(4), seconds(4)), Order, Came);
  sleepFor(HoldTerm + milliseconds(100));
  REQUIRE(Order.load() == 0);
  Test.use({0, 1, 2});
  sleepFor(milliseconds(400));
  REQUIRE(Came == 1);
  REQUIRE(Test.Two.has(adapter(7).Name));
  REQUIRE_FALSE(Test.Two.overfilled());
}

TEST_CASE("a freed place goes to a request that can still be in time") {
  constexpr int LateRequests = 6;
  // When the place becomes free, against the looks of those that wait.
  const milliseconds Shift{GENERATE(0, 3, 6, 8)};
  std::atomic<int> Order{0};
  std::vector<int> CameLate(LateRequests);
  int CameInTime = 0;
  kept_zone Test;
  Test.fill();
  for (int Number = 0; Number < LateRequests; ++Number) {
    Test.start(adapter(10 + Number), Test.wish(milliseconds(1), seconds(4)),
               Order, CameLate[static_cast<std::size_t>(Number)]);
    // They look for a place at different moments.
    sleepFor(milliseconds(3));
  }
  sleepFor(milliseconds(100));
  Test.start(adapter(8), Test.wish(seconds(4), seconds(4)), Order, CameInTime);
  sleepFor(HoldTerm + milliseconds(100) + Shift);
  Test.use({0, 2, 3});
  sleepFor(milliseconds(250));
  REQUIRE(CameInTime == 1);
}

TEST_CASE("a request whose turn would come too late is refused at once") {
  std::atomic<int> Order{0};
  std::vector<int> Came(6);
  kept_zone Test;
  Test.fill();
  // Three grants tell the pace.
  for (int Number = 0; Number < 3; ++Number)
    Test.start(adapter(10 + Number), Test.wish(seconds(9), seconds(9)), Order,
               Came[static_cast<std::size_t>(Number)]);
  sleepFor(HoldTerm + milliseconds(50));
  Test.use({3});
  sleepFor(milliseconds(350));
  REQUIRE(Order.load() == 3);
  Test.use({3, 10, 11, 12});
  for (int Number = 3; Number < 6; ++Number)
    Test.start(adapter(10 + Number), Test.wish(seconds(4), seconds(4)), Order,
               Came[static_cast<std::size_t>(Number)]);
  sleepFor(milliseconds(60));
  std::optional<result_code> Failure;
  const time_point Start = Test.Clock.now();
  Test.Runtime.runBlocking([&] {
    try {
      Test.Keeper.hold(adapter(30),
                       Test.wish(milliseconds(-1), milliseconds(600)),
                       Test.Clock.now() + milliseconds(600));
    } catch (const spindle_error &Error) {
      Failure = Error.code();
    }
  });
  REQUIRE(Failure == result_code::AdapterNotLoaded);
  REQUIRE(Test.Clock.now() - Start < milliseconds(200));
}
