#ifndef PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_HISTORY_H
#define PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_HISTORY_H

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

/// Ends an attempt as the death of its process does.
struct process_death : std::runtime_error {
  process_death() : std::runtime_error("the process died") {}
};

/// Attempts of several hosts at a few order keys, interleaved step by step as
/// a tape of numbers says, with faults at every call to the platform and to
/// the service. A step is what happens between two such calls.
class order_history {
public:
  struct run_of_order {
    std::string Key;
    std::size_t Attempt = 0;
    time_point At;
    std::string Body;
  };
  struct attempt {
    std::size_t Desk = 0;
    std::string Key;
    bool Waiting = false;
    bool Go = false;
    bool Ended = false;
    std::optional<run_state> Refused;
    std::optional<http_response> Answer;
  };
  static constexpr std::size_t DeskCount = 3;
  static constexpr std::size_t LargestLiveCount = 6;
  static constexpr std::uint32_t KeyCount = 6;

  explicit order_history(std::vector<std::uint32_t> Numbers)
      : Tape(std::move(Numbers)) {
    startLogging({log_severity::Error, false});
    Clock.pause();
    Settings.Retention = seconds(60);
    Settings.SweepInterval = seconds(1);
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    for (std::size_t Index = 0; Index < DeskCount; ++Index)
      startDesk(Index);
  }

  /// Plays the tape, then lets everything end without further faults.
  void play() {
    while (Position < Tape.size())
      playStep();
    Faults = false;
    for (const std::unique_ptr<attempt> &Attempt : Attempts)
      while (!Attempt->Ended)
        step(*Attempt);
    for (boost::fibers::fiber &Fiber : Fibers)
      Fiber.join();
    deliverLate();
    Clock.advance(seconds(1));
    for (int Pass = 0; Pass < 3; ++Pass)
      for (const std::unique_ptr<order_executor> &Desk : Desks)
        Desk->sweep();
  }

  runtime_clock Clock;
  order_desk_settings Settings;
  std::vector<std::unique_ptr<attempt>> Attempts;
  std::vector<run_of_order> Runs;
  std::vector<std::unique_ptr<order_executor>> Desks{DeskCount};

private:
  enum class fault { None, LoseAnswer, Fail, Late, DieBefore, DieAfter };

  std::uint32_t next(std::uint32_t Limit) {
    return Position < Tape.size() ? Tape[Position++] % Limit : 0;
  }

  fault nextFault() {
    if (!Faults)
      return fault::None;
    const std::uint32_t Number = next(16);
    return Number < 6 ? static_cast<fault>(Number) : fault::None;
  }

  void playStep() {
    const std::uint32_t Kind = next(16);
    std::erase_if(Live,
                  [this](std::size_t Index) { return Attempts[Index]->Ended; });
    if (Kind < 4 && Live.size() < LargestLiveCount)
      startAttempt(next(DeskCount), "order" + std::to_string(next(KeyCount)));
    else if (Kind == 4)
      Clock.advance(milliseconds(next(6) == 0 ? next(80'000) : next(500)));
    else if (Kind == 5)
      deliverLate();
    else if (Kind == 6)
      startSweep(next(DeskCount));
    else if (!Live.empty())
      step(*Attempts[Live[next(static_cast<std::uint32_t>(Live.size()))]]);
  }

  /// Lets an attempt go on to its next call.
  void step(attempt &Attempt) {
    if (Attempt.Ended)
      return;
    Attempt.Go = true;
    do
      boost::this_fiber::yield();
    while (!Attempt.Ended && (Attempt.Go || !Attempt.Waiting));
  }

  /// Where an attempt's fiber stops until it is its turn.
  void waitForTurn() {
    attempt &Attempt = *Attempts[*Current];
    Attempt.Waiting = true;
    while (!Attempt.Go)
      boost::this_fiber::yield();
    Attempt.Waiting = false;
    Attempt.Go = false;
  }

  template <typename work> auto call(std::size_t Process, work Work) {
    waitForTurn();
    if (Process != Processes[Process % DeskCount])
      throw process_death();
    const fault Fault = nextFault();
    if (Fault == fault::Late) {
      Late.push_back([Work] { Work(); });
      throw spindle_error(result_code::PlatformUnavailable, "late");
    }
    if (Fault == fault::DieBefore)
      die(Process);
    if (Fault == fault::Fail)
      throw spindle_error(result_code::PlatformUnavailable, "failed");
    struct after {
      order_history &History;
      fault Fault;
      std::size_t Process;
      void act() const {
        if (Fault == fault::DieAfter)
          History.die(Process);
        if (Fault == fault::LoseAnswer)
          throw spindle_error(result_code::PlatformUnavailable, "lost");
      }
    };
    const after After{*this, Fault, Process};
    if constexpr (std::is_void_v<decltype(Work())>) {
      Work();
      After.act();
    } else {
      auto Result = Work();
      After.act();
      return Result;
    }
  }

  /// A process that died is followed by a new one with empty memory.
  [[noreturn]] void die(std::size_t Process) {
    startDesk(Process % DeskCount);
    throw process_death();
  }

  void startDesk(std::size_t Index) {
    const std::size_t Process = (Incarnations += DeskCount) + Index;
    Processes[Index] = Process;
    if (Desks[Index])
      DeadDesks.push_back(std::move(Desks[Index]));
    Desks[Index] = std::make_unique<order_executor>(
        Clock, portOf(Process), Process, "host" + std::to_string(Index),
        Settings);
  }

  platform_port portOf(std::size_t Process) {
    platform_port Port = Platform.port();
    const platform_port Real = Platform.port();
    if (!Current.get())
      Current.reset(new std::size_t(0));
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

  void startFiber(std::size_t Desk, const std::string &Key,
                  std::function<void(attempt &)> Work) {
    const std::size_t Index = Attempts.size();
    Attempts.push_back(std::make_unique<attempt>());
    Attempts.back()->Desk = Desk;
    Attempts.back()->Key = Key;
    Live.push_back(Index);
    Fibers.emplace_back([this, Index, Work = std::move(Work)] {
      Current.reset(new std::size_t(Index));
      attempt &Attempt = *Attempts[Index];
      try {
        Work(Attempt);
      } catch (const spindle_error &Error) {
        Attempt.Refused = Error.state();
      } catch (const process_death &) {
      }
      Attempt.Ended = true;
    });
  }

  /// Starts a sweep unless one runs already, as the desk demands.
  void startSweep(std::size_t Desk) {
    const std::size_t Process = Processes[Desk];
    if (!Sweeping.insert(Process).second)
      return;
    startFiber(Desk, "", [this, Desk, Process](attempt &) {
      order_executor &Swept = *Desks[Desk];
      waitForTurn();
      Swept.sweep();
      Sweeping.erase(Process);
    });
  }

  void startAttempt(std::size_t Desk, const std::string &Key) {
    const std::size_t Index = Attempts.size();
    startFiber(Desk, Key, [this, Desk, Key, Index](attempt &Attempt) {
      waitForTurn();
      const std::size_t Process = Processes[Desk];
      const order_request Order{customer_id{1}, "route", Key, "digest"};
      Attempt.Answer =
          Desks[Desk]->run(Order, [&] { return serve(Process, Key, Index); });
    });
  }

  /// The service, with the faults of the connection to it.
  http_response serve(std::size_t Process, const std::string &Key,
                      std::size_t Attempt) {
    const fault Fault = nextFault();
    if (Fault == fault::Fail)
      throw spindle_error(result_code::UpstreamUnreachable, "refused");
    if (Fault == fault::DieBefore)
      die(Process);
    const std::string Body = Key + std::to_string(Runs.size());
    Runs.push_back({Key, Attempt, Clock.now(), Body});
    if (Fault == fault::DieAfter)
      die(Process);
    if (Fault == fault::LoseAnswer)
      throw spindle_error(result_code::UpstreamLost, "lost");
    return {{200, {}}, Body};
  }

  /// Lets writes take effect whose writers have long given them up.
  void deliverLate() {
    for (const std::function<void()> &Write : Late)
      try {
        Write();
      } catch (const spindle_error &) {
        // The conditional write found that things have moved on.
      }
    Late.clear();
  }

  std::vector<std::uint32_t> Tape;
  std::size_t Position = 0;
  bool Faults = true;
  fake_platform Platform;
  std::vector<std::function<void()>> Late;
  std::vector<boost::fibers::fiber> Fibers;
  std::set<std::size_t> Sweeping;
  std::vector<std::size_t> Live;
  std::vector<std::unique_ptr<order_executor>> DeadDesks;
  std::size_t Incarnations = 0;
  std::vector<std::size_t> Processes = std::vector<std::size_t>(DeskCount);
  boost::fibers::fiber_specific_ptr<std::size_t> Current;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBORDERS_ORDER_HISTORY_H
