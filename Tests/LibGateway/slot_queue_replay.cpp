#include "slot_queue_replay.h"

#include <algorithm>
#include <list>

namespace spindle {

namespace {

constexpr std::size_t Slots = 8;
constexpr milliseconds SlotTime{300};
constexpr milliseconds Step{10};
constexpr milliseconds Duration{10'000};
const time_point Start{seconds(100)};
const upstream_id Engine = upstream_id::ofName("e1");

struct waiting_caller {
  std::size_t Source = 0;
  adapter_name Adapter;
  slot_request Request;
  std::uint64_t Ticket = 0;
  int RepeatsLeft = 0;
  time_point LeavesAt;
};

struct slot_replay {
  const std::vector<replay_source> &Sources;
  const replay_settings &Settings;
  slot_queue Queue{};
  std::list<waiting_caller> Callers{};
  std::vector<time_point> BusyUntil = std::vector<time_point>(Slots, Start);
  std::vector<replay_outcome> Outcomes{};
  std::vector<double> Due{};
  int LastAdapter = 0;

  void arrive(std::size_t Source, time_point Now) {
    const replay_source &From = Sources[Source];
    ++Outcomes[Source].Asked;
    waiting_caller Caller;
    Caller.Source = Source;
    Caller.Adapter = {"m", std::to_string(++LastAdapter)};
    Caller.Request = {{Engine},
                      Now + From.Objective,
                      Now + From.Patience,
                      From.Urgency,
                      customer_id::ofName(std::to_string(From.Customer))};
    Caller.RepeatsLeft = From.RepeatsAtOnce;
    Caller.LeavesAt = Now + From.LeavesAfter.value_or(From.Patience);
    Callers.push_back(Caller);
  }

  /// Returns whether the caller still waits.
  bool enter(waiting_caller &Caller, time_point Now) {
    if (Caller.Ticket != 0)
      return true;
    const std::optional<nanoseconds> Wait =
        expectedWait(Queue, Caller.Adapter, Caller.Request, Now);
    if (Wait && Now + *Wait > Caller.Request.UsefulUntil)
      return --Caller.RepeatsLeft >= 0;
    Caller.Ticket = enterQueue(Queue, Caller.Adapter, Caller.Request);
    return true;
  }

  void grant(waiting_caller &Caller, time_point &Slot, time_point Now) {
    Slot = Now + SlotTime;
    noteGrant(Queue, Caller.Adapter, Engine, Now);
    leaveQueue(Queue, Caller.Adapter, Caller.Ticket);
    if (Now >= Caller.LeavesAt)
      return;
    replay_outcome &Outcome = Outcomes[Caller.Source];
    ++(Now <= Caller.Request.OnTimeUntil ? Outcome.InTime : Outcome.Late);
  }

  void grantSlots(time_point Now) {
    for (time_point &Slot : BusyUntil) {
      if (Slot > Now)
        continue;
      const auto First = std::find_if(
          Callers.begin(), Callers.end(), [&](const waiting_caller &Caller) {
            return Caller.Ticket != 0 &&
                   hasPriority(Queue, Caller.Adapter, Engine, Now);
          });
      if (First == Callers.end())
        return;
      grant(*First, Slot, Now);
      Callers.erase(First);
    }
  }

  void step(time_point Now) {
    for (std::size_t Source = 0; Source < Sources.size(); ++Source)
      for (Due[Source] += Sources[Source].PerSecond *
                          std::chrono::duration<double>(Step).count();
           Due[Source] >= 1; Due[Source] -= 1)
        arrive(Source, Now);
    std::erase_if(Callers, [&](waiting_caller &Caller) {
      const bool HasLeft = Now >= Caller.LeavesAt + Settings.LeaveDelay ||
                           Now >= Caller.Request.UsefulUntil;
      if (HasLeft && Caller.Ticket != 0)
        leaveQueue(Queue, Caller.Adapter, Caller.Ticket);
      return HasLeft || !enter(Caller, Now);
    });
    grantSlots(Now);
  }
};

} // namespace

std::vector<replay_outcome> replay(const std::vector<replay_source> &Sources,
                                   const replay_settings &Settings) {
  slot_replay Replay{Sources, Settings};
  Replay.Queue.SharesGrants = Settings.SharesGrants;
  Replay.Outcomes.resize(Sources.size());
  Replay.Due.resize(Sources.size());
  for (time_point Now = Start; Now < Start + Duration; Now += Step)
    Replay.step(Now);
  return Replay.Outcomes;
}

} // namespace spindle
