#include "LibResidency/poll_schedule.h"

#include <algorithm>

namespace spindle {

namespace {

/// An owner that is due for a poll.
struct due_owner {
  host_id Owner;
  double Urgency = 0;
};

} // namespace

static double secondsBetween(time_point From, time_point To) {
  return std::chrono::duration<double>(To - From).count();
}

static void refill(poll_schedule &Schedule, time_point Now) {
  const poll_schedule_settings &Settings = Schedule.Settings;
  const double Elapsed = secondsBetween(Schedule.RefilledAt, Now);
  Schedule.AvailablePolls =
      std::min(Settings.MaxAccumulatedPolls,
               Schedule.AvailablePolls + Elapsed * Settings.PollsPerSecond);
  Schedule.RefilledAt = Now;
}

static std::vector<due_owner>
findDue(poll_schedule &Schedule, std::span<const poll_candidate> Candidates,
        time_point Now) {
  std::unordered_map<host_id, time_point> Retained;
  std::vector<due_owner> Due;
  for (const poll_candidate &Candidate : Candidates) {
    const auto LastPoll = Schedule.LastPolledAt.find(Candidate.Owner);
    // An owner that was never polled is more urgent than all others.
    const time_point Last = LastPoll == Schedule.LastPolledAt.end()
                                ? time_point()
                                : LastPoll->second;
    Retained[Candidate.Owner] = Last;
    if (Now - Last < Schedule.Settings.MinInterval)
      continue;
    const double Factor =
        Candidate.IsOwnZone ? Schedule.Settings.OwnZoneFactor : 1.0;
    Due.push_back({Candidate.Owner, Factor * secondsBetween(Last, Now)});
  }
  Schedule.LastPolledAt = std::move(Retained);
  return Due;
}

std::vector<host_id> choosePolls(poll_schedule &Schedule,
                                 std::span<const poll_candidate> Candidates,
                                 time_point Now) {
  refill(Schedule, Now);
  std::vector<due_owner> Due = findDue(Schedule, Candidates, Now);
  const std::size_t Count =
      std::min(Due.size(), static_cast<std::size_t>(Schedule.AvailablePolls));
  std::partial_sort(Due.begin(),
                    Due.begin() + static_cast<std::ptrdiff_t>(Count), Due.end(),
                    [](const due_owner &Left, const due_owner &Right) {
                      return Left.Urgency > Right.Urgency;
                    });
  std::vector<host_id> Chosen;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Chosen.push_back(Due[Index].Owner);
    Schedule.LastPolledAt[Due[Index].Owner] = Now;
  }
  Schedule.AvailablePolls -= static_cast<double>(Count);
  return Chosen;
}

} // namespace spindle
