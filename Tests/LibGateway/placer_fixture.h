#ifndef PARSLEYSPINDLE_TESTS_LIBGATEWAY_PLACER_FIXTURE_H
#define PARSLEYSPINDLE_TESTS_LIBGATEWAY_PLACER_FIXTURE_H

#include "LibCore/result_code.h"
#include "LibGateway/fake_engine.h"
#include "LibGateway/work_placer.h"
#include "LibRuntime/fiber_runtime.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace spindle {

/// A placer for the engines e0, e1 and so on of zone "a".
struct placer_fixture {
  static constexpr std::int64_t MemoryTokens = 10'000;
  static constexpr std::uint32_t BatchSlots = 64;

  explicit placer_fixture(std::size_t EngineCount, std::size_t Threads = 1)
      : Runtime(Threads) {
    for (std::size_t Index = 0; Index < EngineCount; ++Index)
      Engines.push_back(std::make_unique<fake_engine>(
          Clock, "e" + std::to_string(Index), std::size_t{2}));
    registerEngines(1);
  }
  ~placer_fixture() {
    while (Running.load() > 0)
      sleepFor(milliseconds(5));
  }
  placer_fixture(const placer_fixture &) = delete;
  placer_fixture &operator=(const placer_fixture &) = delete;

  /// Registers all engines but the first \p Without as started at \p StartedAt.
  void registerEngines(std::int64_t StartedAt, std::size_t Without = 0) {
    std::vector<upstream_pointer> Entries;
    for (std::size_t Index = Without; Index < Engines.size(); ++Index) {
      upstream_entry Entry = Engines[Index]->entry();
      Entry.StartedAt = StartedAt;
      Entry.Slots = BatchSlots;
      Entries.push_back(std::make_shared<upstream_entry>(std::move(Entry)));
    }
    Fleet.applyUpstreams(Entries);
  }

  /// Runs \p Work in a fiber; a refusal ends it.
  void spawn(std::function<void()> Work) {
    ++Running;
    Runtime.spawn([this, Work = std::move(Work)] {
      try {
        Work();
      } catch (const spindle_error &) {
        ++Refused;
      }
      --Running;
    });
  }

  void runBlocking(std::function<void()> Work) {
    Runtime.runBlocking(std::move(Work));
  }

  adapter_controller_ports ports() {
    adapter_controller_ports Ports;
    Ports.Orders.Order = [this](const upstream_entry &Entry,
                                const adapter_order &Order,
                                milliseconds Timeout) {
      return engineOf(Entry).port().Order(Entry, Order, Timeout);
    };
    Ports.Orders.Report = [this](const upstream_entry &Entry,
                                 milliseconds Timeout) {
      return engineOf(Entry).port().Report(Entry, Timeout);
    };
    Ports.Spawn = [this](std::function<void()> Work) {
      spawn(std::move(Work));
    };
    Ports.FencingToken = [](std::string_view) -> std::optional<std::uint64_t> {
      return 5;
    };
    Ports.OnFenced = [](std::uint64_t) {};
    Ports.NewestVersion = [](const adapter_name &) { return 0; };
    Ports.Capacity = [](std::string_view) { return std::size_t{2}; };
    Ports.ModelForEmptyEngine = [](std::string_view) {
      return std::string("m");
    };
    Ports.TryAcquireModelLoad = [] { return true; };
    Ports.Holder = "h";
    return Ports;
  }

  fake_engine &engineOf(const upstream_entry &Entry) {
    return *Engines.at(std::stoul(Entry.Name.substr(1)));
  }

  /// A request of which the first event is of use for \p Useful.
  work_request request(std::int64_t PromptTokens, std::int64_t OutputTokens,
                       std::string Adapter = {},
                       milliseconds Useful = milliseconds(5'000)) const {
    work_request Request;
    Request.Service = "models";
    Request.Description.Model = "m";
    Request.Description.Adapter = std::move(Adapter);
    Request.Description.PromptTokens = PromptTokens;
    Request.Query.PromptTokens = PromptTokens;
    Request.Query.OutputTokens = OutputTokens;
    Request.Query.HighOutputTokens = OutputTokens;
    Request.Query.Objective = milliseconds(1'000);
    Request.Slot.OnTimeUntil = Clock.now() + milliseconds(1'000);
    Request.Slot.UsefulUntil = Clock.now() + Useful;
    return Request;
  }

  /// Places a request from a fiber. Returns none on timeout.
  /// \throws spindle_error as the placer does.
  std::optional<placed_engine> place(const work_request &Request,
                                     milliseconds Limit) {
    std::optional<placed_engine> Placed;
    std::exception_ptr Failure;
    runBlocking([&] {
      try {
        Placed = Placer.place(Request, Clock.now() + Limit);
      } catch (const spindle_error &) {
        Failure = std::current_exception();
      }
    });
    if (Failure)
      std::rethrow_exception(Failure);
    return Placed;
  }

  runtime_clock Clock;
  fiber_runtime Runtime;
  std::vector<std::unique_ptr<fake_engine>> Engines;
  fleet_table Fleet{Clock, "a"};
  std::atomic<int> Running{0};
  /// The spawned fibers that a refusal ended.
  std::atomic<int> Refused{0};
  adapter_controller Controller{Clock, Fleet, ports()};
  engine_capacity Size{2, BatchSlots, MemoryTokens, 1, 0, {}, 0};
  work_placer Placer{Clock, Fleet, Controller, "a",
                     [this](std::string_view) { return std::optional(Size); }};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBGATEWAY_PLACER_FIXTURE_H
