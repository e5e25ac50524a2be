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
  const double Elapsed = secondsBetween(Schedule.SavedAt, Now);
  Schedule.Saved = std::min(Settings.MostSaved,
                            Schedule.Saved + Elapsed * Settings.PollsPerSecond);
  Schedule.SavedAt = Now;
}

static std::vector<due_owner>
findDue(poll_schedule &Schedule, std::span<const poll_candidate> Candidates,
        time_point Now) {
  std::unordered_map<host_id, time_point> Kept;
  std::vector<due_owner> Due;
  for (const poll_candidate &Candidate : Candidates) {
    const auto Asked = Schedule.AskedAt.find(Candidate.Owner);
    // An owner that was never polled is more urgent than all others.
    const time_point Last =
        Asked == Schedule.AskedAt.end() ? time_point() : Asked->second;
    Kept[Candidate.Owner] = Last;
    if (Now - Last < Schedule.Settings.LeastInterval)
      continue;
    const double Factor =
        Candidate.IsOwnZone ? Schedule.Settings.OwnZoneFactor : 1.0;
    Due.push_back({Candidate.Owner, Factor * secondsBetween(Last, Now)});
  }
  Schedule.AskedAt = std::move(Kept);
  return Due;
}

std::vector<host_id> choosePolls(poll_schedule &Schedule,
                                 std::span<const poll_candidate> Candidates,
                                 time_point Now) {
  refill(Schedule, Now);
  std::vector<due_owner> Due = findDue(Schedule, Candidates, Now);
  const std::size_t Count =
      std::min(Due.size(), static_cast<std::size_t>(Schedule.Saved));
  std::partial_sort(Due.begin(),
                    Due.begin() + static_cast<std::ptrdiff_t>(Count), Due.end(),
                    [](const due_owner &Left, const due_owner &Right) {
                      return Left.Urgency > Right.Urgency;
                    });
  std::vector<host_id> Chosen;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Chosen.push_back(Due[Index].Owner);
    Schedule.AskedAt[Due[Index].Owner] = Now;
  }
  Schedule.Saved -= static_cast<double>(Count);
  return Chosen;
}

} // namespace spindle
