#ifndef PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_SIMULATION_H
#define PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_SIMULATION_H

#include "LibCore/result_code.h"
#include "LibHost/order_executor.h"
#include "LibLog/log.h"
#include "Support/fake_platform.h"

#include <boost/fiber/all.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace spindle {

/// Ends an attempt as a crash of its process would.
struct process_crash : std::runtime_error {
  process_crash() : std::runtime_error("process crashed") {}
};

/// Simulates attempts of several hosts to run orders with a few keys. A
/// sequence of random numbers determines how the attempts interleave and which
/// calls to the platform and to the service fail. A step is the code that runs
/// between two such calls.
class order_simulation {
public:
  struct order_run {
    std::string Key;
    std::size_t Attempt = 0;
    time_point At;
    std::string Body;
  };
  struct attempt {
    std::size_t Executor = 0;
    std::string Key;
    bool Waiting = false;
    bool Resumed = false;
    bool Ended = false;
    std::optional<run_state> ReportedState;
    std::optional<http_response> Response;
  };
  static constexpr std::size_t ExecutorCount = 3;
  static constexpr std::size_t MaxLiveAttempts = 6;
  static constexpr std::uint32_t KeyCount = 6;

  explicit order_simulation(std::vector<std::uint32_t> Numbers)
      : Choices(std::move(Numbers)) {
    startLogging({log_severity::Error, false});
    Clock.pause();
    Settings.Retention = seconds(60);
    Settings.SweepInterval = seconds(1);
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    for (std::size_t Index = 0; Index < ExecutorCount; ++Index)
      startExecutor(Index);
  }

  /// Runs the whole sequence, then lets all attempts end without further
  /// faults.
  void runAllSteps() {
    while (Position < Choices.size())
      runStep();
    Faults = false;
    for (const std::unique_ptr<attempt> &Attempt : Attempts)
      while (!Attempt->Ended)
        step(*Attempt);
    for (boost::fibers::fiber &Fiber : Fibers)
      Fiber.join();
    applyDelayedWrites();
    Clock.advance(seconds(1));
    for (int Pass = 0; Pass < 3; ++Pass)
      for (const std::unique_ptr<order_executor> &Executor : Executors)
        Executor->sweep();
  }

  runtime_clock Clock;
  order_executor_settings Settings;
  std::vector<std::unique_ptr<attempt>> Attempts;
  std::vector<order_run> Runs;
  std::vector<std::unique_ptr<order_executor>> Executors{ExecutorCount};

private:
  enum class fault { None, LoseResponse, Fail, Delay, CrashBefore, CrashAfter };

  std::uint32_t nextChoice(std::uint32_t Limit) {
    return Position < Choices.size() ? Choices[Position++] % Limit : 0;
  }

  fault nextFault() {
    if (!Faults)
      return fault::None;
    const std::uint32_t Number = nextChoice(16);
    return Number < 6 ? static_cast<fault>(Number) : fault::None;
  }

  void runStep() {
    const std::uint32_t Kind = nextChoice(16);
    std::erase_if(LiveAttempts,
                  [this](std::size_t Index) { return Attempts[Index]->Ended; });
    if (Kind < 4 && LiveAttempts.size() < MaxLiveAttempts)
      startAttempt(nextChoice(ExecutorCount),
                   "order" + std::to_string(nextChoice(KeyCount)));
    else if (Kind == 4)
      Clock.advance(milliseconds(nextChoice(6) == 0 ? nextChoice(80'000)
                                                    : nextChoice(500)));
    else if (Kind == 5)
      applyDelayedWrites();
    else if (Kind == 6)
      startSweep(nextChoice(ExecutorCount));
    else if (!LiveAttempts.empty())
      step(*Attempts[LiveAttempts[nextChoice(
          static_cast<std::uint32_t>(LiveAttempts.size()))]]);
  }

  /// Resumes an attempt until its next call.
  void step(attempt &Attempt) {
    if (Attempt.Ended)
      return;
    Attempt.Resumed = true;
    do
      boost::this_fiber::yield();
    while (!Attempt.Ended && (Attempt.Resumed || !Attempt.Waiting));
  }

  /// Blocks the fiber of the current attempt until step() resumes it.
  void waitForTurn() {
    attempt &Attempt = *Attempts[*CurrentAttempt];
    Attempt.Waiting = true;
    while (!Attempt.Resumed)
      boost::this_fiber::yield();
    Attempt.Waiting = false;
    Attempt.Resumed = false;
  }

  template <typename work> auto call(std::size_t Process, work Work) {
    waitForTurn();
    if (Process != Processes[Process % ExecutorCount])
      throw process_crash();
    const fault Fault = nextFault();
    if (Fault == fault::Delay) {
      DelayedWrites.push_back([Work] { Work(); });
      throw spindle_error(result_code::PlatformUnavailable, "late");
    }
    if (Fault == fault::CrashBefore)
      crash(Process);
    if (Fault == fault::Fail)
      throw spindle_error(result_code::PlatformUnavailable, "failed");
    struct post_call_fault {
      order_simulation &Simulation;
      fault Fault;
      std::size_t Process;
      void apply() const {
        if (Fault == fault::CrashAfter)
          Simulation.crash(Process);
        if (Fault == fault::LoseResponse)
          throw spindle_error(result_code::PlatformUnavailable, "lost");
      }
    };
    const post_call_fault PostCallFault{*this, Fault, Process};
    if constexpr (std::is_void_v<decltype(Work())>) {
      Work();
      PostCallFault.apply();
    } else {
      auto Result = Work();
      PostCallFault.apply();
      return Result;
    }
  }

  /// Replaces the crashed process by a new one without its in-memory state.
  [[noreturn]] void crash(std::size_t Process) {
    startExecutor(Process % ExecutorCount);
    throw process_crash();
  }

  void startExecutor(std::size_t Index) {
    const std::size_t Process = (Incarnations += ExecutorCount) + Index;
    Processes[Index] = Process;
    if (Executors[Index])
      CrashedExecutors.push_back(std::move(Executors[Index]));
    Executors[Index] = std::make_unique<order_executor>(
        Clock, makePort(Process), Process, "host" + std::to_string(Index),
        Settings);
  }

  platform_port makePort(std::size_t Process) {
    platform_port Port = Platform.port();
    const platform_port Real = Platform.port();
    if (!CurrentAttempt.get())
      CurrentAttempt.reset(new std::size_t(0));
    Port.Get = [this, Real, Process](std::string_view Kind,
                                     std::string_view Name) {
      if (Attempts.empty() || !Faults)
        return Real.Get(Kind, Name);
      return call(Process,
                  [Real, Kind = std::string(Kind), Name = std::string(Name)] {
                    return Real.Get(Kind, Name);
                  });
    };
    Port.Create = [this, Real, Process](std::string_view Kind,
                                        std::string_view Name,
                                        std::string_view Body) {
      if (!Faults)
        return Real.Create(Kind, Name, Body);
      return call(
          Process,
          [Real, Kind = std::string(Kind), Name = std::string(Name),
           Body = std::string(Body)] { return Real.Create(Kind, Name, Body); });
    };
    Port.Update = [this, Real,
                   Process](std::string_view Kind, std::string_view Name,
                            std::uint64_t Version, std::string_view Body) {
      if (!Faults)
        return Real.Update(Kind, Name, Version, Body);
      return call(Process,
                  [Real, Kind = std::string(Kind), Name = std::string(Name),
                   Version, Body = std::string(Body)] {
                    return Real.Update(Kind, Name, Version, Body);
                  });
    };
    return Port;
  }

  void startFiber(std::size_t Executor, const std::string &Key,
                  std::function<void(attempt &)> Work) {
    const std::size_t Index = Attempts.size();
    Attempts.push_back(std::make_unique<attempt>());
    Attempts.back()->Executor = Executor;
    Attempts.back()->Key = Key;
    LiveAttempts.push_back(Index);
    Fibers.emplace_back([this, Index, Work = std::move(Work)] {
      CurrentAttempt.reset(new std::size_t(Index));
      attempt &Attempt = *Attempts[Index];
      try {
        Work(Attempt);
      } catch (const spindle_error &Error) {
        Attempt.ReportedState = Error.state();
      } catch (const process_crash &) {
      }
      Attempt.Ended = true;
    });
  }

  /// Starts a sweep unless one is running; order_executor permits only one at a
  /// time.
  void startSweep(std::size_t Executor) {
    const std::size_t Process = Processes[Executor];
    if (!SweepingProcesses.insert(Process).second)
      return;
    startFiber(Executor, "", [this, Executor, Process](attempt &) {
      order_executor &Swept = *Executors[Executor];
      waitForTurn();
      Swept.sweep();
      SweepingProcesses.erase(Process);
    });
  }

  void startAttempt(std::size_t Executor, const std::string &Key) {
    const std::size_t Index = Attempts.size();
    startFiber(Executor, Key, [this, Executor, Key, Index](attempt &Attempt) {
      waitForTurn();
      const std::size_t Process = Processes[Executor];
      const order_request Order{customer_id{1}, "route", Key, "digest"};
      Attempt.Response = Executors[Executor]->run(
          Order, [&] { return serve(Process, Key, Index); });
    });
  }

  /// Simulates the service and faults of the connection to it.
  http_response serve(std::size_t Process, const std::string &Key,
                      std::size_t Attempt) {
    const fault Fault = nextFault();
    if (Fault == fault::Fail)
      throw spindle_error(result_code::UpstreamUnreachable, "refused");
    if (Fault == fault::CrashBefore)
      crash(Process);
    const std::string Body = Key + std::to_string(Runs.size());
    Runs.push_back({Key, Attempt, Clock.now(), Body});
    if (Fault == fault::CrashAfter)
      crash(Process);
    if (Fault == fault::LoseResponse)
      throw spindle_error(result_code::UpstreamLost, "lost");
    return {{200, {}}, Body};
  }

  /// Applies delayed writes whose callers have already seen them fail.
  void applyDelayedWrites() {
    for (const std::function<void()> &Write : DelayedWrites)
      try {
        Write();
      } catch (const spindle_error &) {
        // The conditional write failed because the record changed meanwhile.
      }
    DelayedWrites.clear();
  }

  std::vector<std::uint32_t> Choices;
  std::size_t Position = 0;
  bool Faults = true;
  fake_platform Platform;
  std::vector<std::function<void()>> DelayedWrites;
  std::vector<boost::fibers::fiber> Fibers;
  std::set<std::size_t> SweepingProcesses;
  std::vector<std::size_t> LiveAttempts;
  std::vector<std::unique_ptr<order_executor>> CrashedExecutors;
  std::size_t Incarnations = 0;
  std::vector<std::size_t> Processes = std::vector<std::size_t>(ExecutorCount);
  boost::fibers::fiber_specific_ptr<std::size_t> CurrentAttempt;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_SIMULATION_H
