#include "LibCore/result_code.h"
#include "LibGateway/adapter_controller.h"
#include "LibGateway/fake_engine.h"
#include "LibRuntime/fiber_runtime.h"

#include <atomic>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr std::size_t Capacity = 3;

versioned_adapter adapter(int Number, std::uint64_t Version = 0) {
  return {{"m", "a" + std::to_string(Number)}, Version};
}

/// A controller of one engine.
struct controller_fixture {
  controller_fixture() {
    Fleet.applyUpstreams({std::make_shared<upstream_entry>(Engine.entry())});
  }

  adapter_controller_ports ports() {
    adapter_controller_ports Ports;
    Ports.Orders = Engine.port();
    Ports.Spawn = [this](std::function<void()> Work) {
      ++Running;
      Runtime.spawn([this, Work = std::move(Work)] {
        Work();
        --Running;
      });
    };
    Ports.FencingToken =
        [this](std::string_view) -> std::optional<std::uint64_t> {
      const std::uint64_t Now = FencingToken.load();
      return Now > 0 ? std::optional(Now) : std::nullopt;
    };
    Ports.OnFenced = [this](std::uint64_t) { FencingToken.store(0); };
    Ports.NewestVersion = [this](const adapter_name &) {
      return Newest.load();
    };
    Ports.Capacity = [](std::string_view) { return Capacity; };
    Ports.ModelForEmptyEngine = [](std::string_view) {
      return std::string("m");
    };
    Ports.TryAcquireModelLoad = [] { return true; };
    Ports.Holder = "h";
    return Ports;
  }

  /// Tries to hold an adapter. Returns the error, none on success.
  std::optional<result_code> hold(const versioned_adapter &Wanted,
                                  milliseconds Limit = milliseconds(5'000)) {
    std::optional<result_code> Failure;
    Runtime.runBlocking([&] {
      const time_point Until = Clock.now() + Limit;
      try {
        if (!Controller.hold(Wanted, {{Id}, Until, Until, 0}, Until))
          Failure = result_code::AdapterNotLoaded;
      } catch (const spindle_error &Error) {
        Failure = Error.code();
      }
    });
    return Failure;
  }

  ~controller_fixture() {
    while (Running.load() > 0)
      sleepFor(milliseconds(5));
  }

  runtime_clock Clock;
  fiber_runtime Runtime{1};
  fake_engine Engine{Clock, "e1", Capacity};
  upstream_id Id = upstream_id::ofName("e1");
  fleet_table Fleet{Clock, "a"};
  std::atomic<std::uint64_t> FencingToken{5};
  std::atomic<std::uint64_t> Newest{0};
  std::atomic<int> Running{0};
  adapter_controller Controller{Clock, Fleet, ports()};
};

} // namespace

TEST_CASE("a held adapter is loaded on the engine") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  REQUIRE(Test.Engine.hasLoaded(adapter(1).Name));
  REQUIRE(Test.Engine.refusals() == 0);
}

TEST_CASE("no order is refused while an unload waits for running requests") {
  controller_fixture Test;
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number)));
  // The controller does not know that requests for this adapter are running.
  Test.Engine.setRunning(adapter(0).Name, true);
  sleepFor(HoldTerm + milliseconds(100));
  for (int Number = 1; Number < 3; ++Number)
    REQUIRE_FALSE(Test.hold(adapter(Number)));
  REQUIRE(Test.hold(adapter(7), milliseconds(200)) ==
          result_code::AdapterNotLoaded);
  Test.Engine.setRunning(adapter(0).Name, false);
  REQUIRE_FALSE(Test.hold(adapter(7)));
  REQUIRE(Test.Engine.refusals() == 0);
  REQUIRE_FALSE(Test.Engine.hasExceededCapacity());
}

TEST_CASE(
    "a refused load of a newer version keeps the slot of the old version") {
  controller_fixture Test;
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
  REQUIRE_FALSE(Test.Engine.hasExceededCapacity());
}

TEST_CASE("lost answers and late execution of orders don't exceed an engine's "
          "capacity") {
  controller_fixture Test;
  fake_engine_faults Faults;
  Faults.LostAnswerRatio = 0.4;
  Faults.LateApplyDelay = milliseconds(300);
  Test.Engine.setFaults(Faults);
  for (int Number = 0; Number < 12; ++Number)
    Test.hold(adapter(Number % 5), milliseconds(900));
  Test.Engine.setFaults({});
  sleepFor(milliseconds(1'500));
  REQUIRE_FALSE(Test.Engine.hasExceededCapacity());
  REQUIRE_FALSE(Test.hold(adapter(9)));
  REQUIRE(Test.Engine.hasLoaded(adapter(9).Name));
}

TEST_CASE("no load is ordered once the engine reports that it is full") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(0)));
  // The previous leader had these loaded; no report shows them yet.
  std::uint64_t AcceptedOrders = 1;
  for (const int Number : {5, 6}) {
    adapter_order Order;
    Order.Adapter = adapter(Number);
    Order.FencingToken = 5;
    Order.ExpectedCount = AcceptedOrders++;
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
        Test.Controller.hold(adapter(Number), {{Test.Id}, Until, Until, 0},
                             Until);
      } catch (const spindle_error &) {
        ++Ended;
        return;
      }
      ++Ended;
    });
  while (Ended.load() < 2)
    sleepFor(milliseconds(10));
  REQUIRE_FALSE(Test.Engine.hasExceededCapacity());
}

TEST_CASE("holds are fast again after a period of slow loads") {
  controller_fixture Test;
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

TEST_CASE("a hold on an unresponsive engine fails immediately") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  fake_engine_faults Faults;
  Faults.Unresponsive = true;
  Test.Engine.setFaults(Faults);
  Test.hold(adapter(2), milliseconds(600));
  const time_point Start = Test.Clock.now();
  REQUIRE(Test.hold(adapter(3)) == result_code::AdapterNotLoaded);
  REQUIRE(Test.Clock.now() - Start < milliseconds(200));
}

TEST_CASE("a host without the zone's fencing token sends no orders") {
  controller_fixture Test;
  Test.FencingToken.store(0);
  REQUIRE(Test.hold(adapter(1)) == result_code::NotOwner);
  REQUIRE_FALSE(Test.Engine.hasLoaded(adapter(1).Name));
}

TEST_CASE("a controller stops sending orders after a higher fencing token") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  adapter_order Order;
  Order.Adapter = adapter(2);
  Order.FencingToken = 9;
  Test.Engine.port().Order(Test.Engine.entry(), Order, milliseconds(100));
  REQUIRE(Test.hold(adapter(3)) == result_code::NotOwner);
  REQUIRE(Test.FencingToken.load() == 0);
}

TEST_CASE("an announced newer version replaces the loaded one") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(1, 1)));
  Test.Newest.store(2);
  Test.Runtime.runBlocking([&] { Test.Controller.upgradeAdapters(); });
  std::optional<adapter_location> Location;
  Test.Runtime.runBlocking([&] {
    const time_point Until = Test.Clock.now() + seconds(5);
    Location = Test.Controller.hold(adapter(1, 2), {{Test.Id}, Until, Until, 0},
                                    Until);
  });
  REQUIRE(Location->Adapter.Version == 2);
}

TEST_CASE("an adapter reported missing by the engine is loaded again") {
  controller_fixture Test;
  REQUIRE_FALSE(Test.hold(adapter(1)));
  adapter_order Order;
  Order.Action = order_action::Unload;
  Order.Adapter = adapter(1);
  Order.FencingToken = 5;
  Test.Engine.port().Order(Test.Engine.entry(), Order, milliseconds(100));
  REQUIRE_FALSE(Test.Engine.hasLoaded(adapter(1).Name));
  Test.Runtime.runBlocking(
      [&] { Test.Controller.noteMissing(Test.Id, adapter(1).Name); });
  REQUIRE_FALSE(Test.hold(adapter(1)));
  REQUIRE(Test.Engine.hasLoaded(adapter(1).Name));
}

namespace {

constexpr std::size_t ZoneEngineCapacity = 2;

/// A controller of two engines in one zone.
struct zone_fixture {
  zone_fixture() {
    Fleet.applyUpstreams({std::make_shared<upstream_entry>(One.entry()),
                          std::make_shared<upstream_entry>(Two.entry())});
  }
  ~zone_fixture() {
    while (Running.load() > 0)
      sleepFor(milliseconds(5));
  }

  adapter_controller_ports ports() {
    adapter_controller_ports Ports;
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
    Ports.FencingToken = [](std::string_view) {
      return std::optional<std::uint64_t>(5);
    };
    Ports.OnFenced = [](std::uint64_t) {};
    Ports.NewestVersion = [](const adapter_name &) { return std::uint64_t{0}; };
    Ports.Capacity = [](std::string_view) { return ZoneEngineCapacity; };
    Ports.ModelForEmptyEngine = [](std::string_view) {
      return std::string("m");
    };
    Ports.TryAcquireModelLoad = [] { return true; };
    Ports.Holder = "h";
    return Ports;
  }

  fake_engine &engine(const upstream_entry &Entry) {
    return Entry.Name == "e1" ? One : Two;
  }

  slot_request slotRequest(milliseconds OnTime, milliseconds Useful) {
    const time_point Now = Clock.now();
    return {{One.entry().Id, Two.entry().Id}, Now + OnTime, Now + Useful, 0};
  }

  /// Starts to hold an adapter. Sets \p CompletionRank to the position in which
  /// the hold succeeded, 0 on failure.
  void startHold(const versioned_adapter &Wanted, slot_request SlotRequest,
                 std::atomic<int> &Completed, int &CompletionRank) {
    ++Running;
    Runtime.spawn([this, Wanted, SlotRequest, &Completed, &CompletionRank] {
      try {
        if (Controller.hold(Wanted, SlotRequest, SlotRequest.UsefulUntil))
          CompletionRank = ++Completed;
      } catch (const spindle_error &) {
        CompletionRank = 0;
      }
      --Running;
    });
  }

  void fillEngines() {
    for (int Number = 0; Number < 4; ++Number)
      Runtime.runBlocking([&] {
        const slot_request SlotRequest = slotRequest(seconds(5), seconds(5));
        REQUIRE(Controller.hold(adapter(Number), SlotRequest,
                                SlotRequest.UsefulUntil));
      });
    setAdaptersInUse({0, 1, 2, 3});
  }

  /// Marks these adapters as in use on both engines.
  void setAdaptersInUse(const std::vector<int> &Numbers) {
    std::vector<adapter_use> Uses;
    for (const int Number : Numbers)
      for (const char *const Engine : {"e1", "e2"})
        Uses.push_back({upstream_id::ofName(Engine), adapter(Number).Name});
    Controller.setInUse(Uses);
  }

  runtime_clock Clock;
  fiber_runtime Runtime{1};
  fake_engine One{Clock, "e1", ZoneEngineCapacity};
  fake_engine Two{Clock, "e2", ZoneEngineCapacity};
  fleet_table Fleet{Clock, "a"};
  std::atomic<int> Running{0};
  adapter_controller Controller{Clock, Fleet, ports()};
};

} // namespace

TEST_CASE("a request gets the first slot that becomes free in the zone") {
  std::atomic<int> Completed{0};
  int CompletionRank = 0;
  zone_fixture Test;
  Test.fillEngines();
  REQUIRE((Test.One.hasLoaded(adapter(0).Name) &&
           Test.Two.hasLoaded(adapter(3).Name)));
  Test.startHold(adapter(7), Test.slotRequest(seconds(4), seconds(4)),
                 Completed, CompletionRank);
  sleepFor(HoldTerm + milliseconds(100));
  REQUIRE(Completed.load() == 0);
  Test.setAdaptersInUse({0, 1, 2});
  sleepFor(milliseconds(400));
  REQUIRE(CompletionRank == 1);
  REQUIRE(Test.Two.hasLoaded(adapter(7).Name));
  REQUIRE_FALSE(Test.Two.hasExceededCapacity());
}

TEST_CASE("a freed slot goes to a request that can still meet its objective") {
  constexpr int LateRequests = 6;
  // Varies when the slot becomes free relative to the polls of the waiting
  // requests.
  const milliseconds Shift{GENERATE(0, 3, 6, 8)};
  std::atomic<int> Completed{0};
  std::vector<int> LateRanks(LateRequests);
  int OnTimeRank = 0;
  zone_fixture Test;
  Test.fillEngines();
  for (int Number = 0; Number < LateRequests; ++Number) {
    Test.startHold(adapter(10 + Number),
                   Test.slotRequest(milliseconds(1), seconds(4)), Completed,
                   LateRanks[static_cast<std::size_t>(Number)]);
    // Offsets their polls for a slot from each other.
    sleepFor(milliseconds(3));
  }
  sleepFor(milliseconds(100));
  Test.startHold(adapter(8), Test.slotRequest(seconds(4), seconds(4)),
                 Completed, OnTimeRank);
  sleepFor(HoldTerm + milliseconds(100) + Shift);
  Test.setAdaptersInUse({0, 2, 3});
  sleepFor(milliseconds(250));
  REQUIRE(OnTimeRank == 1);
}

TEST_CASE("a request that would get a slot too late is refused immediately") {
  std::atomic<int> Completed{0};
  std::vector<int> CompletionRank(6);
  zone_fixture Test;
  Test.fillEngines();
  // The wait can be estimated after three grants.
  for (int Number = 0; Number < 3; ++Number)
    Test.startHold(adapter(10 + Number),
                   Test.slotRequest(seconds(9), seconds(9)), Completed,
                   CompletionRank[static_cast<std::size_t>(Number)]);
  sleepFor(HoldTerm + milliseconds(50));
  Test.setAdaptersInUse({3});
  sleepFor(milliseconds(350));
  REQUIRE(Completed.load() == 3);
  Test.setAdaptersInUse({3, 10, 11, 12});
  for (int Number = 3; Number < 6; ++Number)
    Test.startHold(adapter(10 + Number),
                   Test.slotRequest(seconds(4), seconds(4)), Completed,
                   CompletionRank[static_cast<std::size_t>(Number)]);
  sleepFor(milliseconds(60));
  std::optional<result_code> Failure;
  const time_point Start = Test.Clock.now();
  Test.Runtime.runBlocking([&] {
    try {
      Test.Controller.hold(
          adapter(30), Test.slotRequest(milliseconds(-1), milliseconds(600)),
          Test.Clock.now() + milliseconds(600));
    } catch (const spindle_error &Error) {
      Failure = Error.code();
    }
  });
  REQUIRE(Failure == result_code::AdapterNotLoaded);
  REQUIRE(Test.Clock.now() - Start < milliseconds(200));
}
