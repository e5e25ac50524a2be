#include "LibResilience/crash_suspects.h"

#include <algorithm>

namespace spindle {

static bool contains(const std::vector<upstream_id> &Sorted,
                     upstream_id Upstream) {
  return std::binary_search(Sorted.begin(), Sorted.end(), Upstream);
}

/// Inserts into a sorted vector; returns false if it was already present.
static bool insertSorted(std::vector<upstream_id> &Sorted,
                         upstream_id Upstream) {
  const auto Position =
      std::lower_bound(Sorted.begin(), Sorted.end(), Upstream);
  if (Position != Sorted.end() && *Position == Upstream)
    return false;
  Sorted.insert(Position, Upstream);
  return true;
}

static std::size_t countedLosses(const crash_suspect &Suspect) {
  return Suspect.Lost.size() - Suspect.Discounted.size();
}

static bool reachesQuarantine(const crash_suspect &Suspect) {
  return countedLosses(Suspect) >= LossesForQuarantine;
}

static void index(crash_suspects &Suspects, request_fingerprint Fingerprint,
                  const crash_suspect &Suspect) {
  Suspects.Expiry.insert(
      {{reachesQuarantine(Suspect), Suspect.ExpiresAt}, Fingerprint});
}

static void unindex(crash_suspects &Suspects, request_fingerprint Fingerprint,
                    const crash_suspect &Suspect) {
  Suspects.Expiry.erase(
      {{reachesQuarantine(Suspect), Suspect.ExpiresAt}, Fingerprint});
}

static void evictFirst(crash_suspects &Suspects) {
  Suspects.Suspects.erase(Suspects.Expiry.begin()->second);
  Suspects.Expiry.erase(Suspects.Expiry.begin());
}

/// Finds a suspect that has not expired and has losses that count.
static const crash_suspect *findSuspect(const crash_suspects &Suspects,
                                        request_fingerprint Fingerprint,
                                        time_point Now) {
  const auto Found = Suspects.Suspects.find(Fingerprint);
  if (Found == Suspects.Suspects.end() || Found->second.ExpiresAt <= Now)
    return nullptr;
  return countedLosses(Found->second) > 0 ? &Found->second : nullptr;
}

/// Upper limit of the delay before a retry.
static constexpr seconds MaxPauseBeforeRetry{3};

static std::uint32_t countRuns(const crash_suspects &Suspects,
                               request_fingerprint Fingerprint) {
  std::uint32_t Count = 0;
  for (const auto &[Upstream, Runs] : Suspects.Running)
    Count += static_cast<std::uint32_t>(
        std::count_if(Runs.begin(), Runs.end(), [&](const suspect_run &Run) {
          return Run.Fingerprint == Fingerprint;
        }));
  return Count;
}

/// Adds losses and extends the expiry; returns whether any loss was new.
static bool addLosses(crash_suspects &Suspects, request_fingerprint Fingerprint,
                      std::span<const upstream_id> Lost, time_point ExpiresAt,
                      time_point Now) {
  auto Found = Suspects.Suspects.find(Fingerprint);
  if (Found != Suspects.Suspects.end() && Found->second.ExpiresAt <= Now) {
    unindex(Suspects, Fingerprint, Found->second);
    Suspects.Suspects.erase(Found);
    Found = Suspects.Suspects.end();
  }
  if (Found == Suspects.Suspects.end()) {
    if (Suspects.Suspects.size() >= Suspects.Settings.MaxSuspects)
      evictFirst(Suspects);
    Found = Suspects.Suspects.insert({Fingerprint, crash_suspect{}}).first;
    Found->second.Running = countRuns(Suspects, Fingerprint);
  } else {
    unindex(Suspects, Fingerprint, Found->second);
  }
  crash_suspect &Suspect = Found->second;
  bool Changed = false;
  for (const upstream_id Upstream : Lost)
    Changed = insertSorted(Suspect.Lost, Upstream) || Changed;
  Suspect.ExpiresAt = std::max(Suspect.ExpiresAt, ExpiresAt);
  index(Suspects, Fingerprint, Suspect);
  return Changed;
}

static void recordLoss(crash_suspects &Suspects,
                       request_fingerprint Fingerprint, upstream_id Upstream,
                       time_point Now) {
  const time_point ExpiresAt = Now + Suspects.Settings.QuarantineTime;
  addLosses(Suspects, Fingerprint, {&Upstream, 1}, ExpiresAt, Now);
  crash_suspect &Suspect = Suspects.Suspects[Fingerprint];
  unindex(Suspects, Fingerprint, Suspect);
  std::erase(Suspect.Discounted, Upstream);
  Suspect.Unshared = true;
  index(Suspects, Fingerprint, Suspect);
}

/// Stops counting all losses so far: the request has completed on an upstream,
/// so it did not cause them.
static void discountLosses(crash_suspects &Suspects,
                           request_fingerprint Fingerprint) {
  const auto Found = Suspects.Suspects.find(Fingerprint);
  if (Found == Suspects.Suspects.end())
    return;
  unindex(Suspects, Fingerprint, Found->second);
  Found->second.Discounted = Found->second.Lost;
  index(Suspects, Fingerprint, Found->second);
}

static void updateRunCount(crash_suspects &Suspects,
                           request_fingerprint Fingerprint, bool Starts) {
  const auto Found = Suspects.Suspects.find(Fingerprint);
  if (Found == Suspects.Suspects.end())
    return;
  if (Starts)
    ++Found->second.Running;
  else if (Found->second.Running > 0)
    --Found->second.Running;
}

bool isQuarantined(crash_suspects &Suspects, request_fingerprint Fingerprint,
                   time_point Now) {
  const crash_suspect *const Found = findSuspect(Suspects, Fingerprint, Now);
  if (Found == nullptr || !reachesQuarantine(*Found))
    return false;
  crash_suspect &Suspect = Suspects.Suspects[Fingerprint];
  const seconds Time = Suspects.Settings.QuarantineTime;
  // Extend, and so share with other hosts, only after a quarter of the time
  // has passed, to limit the number of messages.
  if (Suspect.ExpiresAt - Now < Time * 3 / 4) {
    unindex(Suspects, Fingerprint, Suspect);
    Suspect.ExpiresAt = Now + Time;
    Suspect.Unshared = true;
    index(Suspects, Fingerprint, Suspect);
  }
  return true;
}

bool isSuspect(const crash_suspects &Suspects, request_fingerprint Fingerprint,
               time_point Now) {
  return findSuspect(Suspects, Fingerprint, Now) != nullptr;
}

bool mayStartOn(const crash_suspects &Suspects, upstream_id Upstream,
                request_fingerprint Fingerprint, time_point Now) {
  const crash_suspect *const Suspect = findSuspect(Suspects, Fingerprint, Now);
  if (Suspect == nullptr)
    return true;
  if (Suspect->Running > 0 || contains(Suspect->Lost, Upstream))
    return false;
  const auto Found = Suspects.Running.find(Upstream);
  if (Found == Suspects.Running.end())
    return true;
  return std::none_of(Found->second.begin(), Found->second.end(),
                      [&](const suspect_run &Other) {
                        return isSuspect(Suspects, Other.Fingerprint, Now);
                      });
}

void noteRunStarted(crash_suspects &Suspects, upstream_id Upstream,
                    request_fingerprint Fingerprint, time_point Now) {
  Suspects.Running[Upstream].push_back({Fingerprint, Now});
  updateRunCount(Suspects, Fingerprint, true);
}

nanoseconds pauseBeforeRetry(nanoseconds Ran) {
  return std::min<nanoseconds>(2 * Ran, MaxPauseBeforeRetry);
}

nanoseconds noteRunEnded(crash_suspects &Suspects, upstream_id Upstream,
                         request_fingerprint Fingerprint, run_end End,
                         time_point Now) {
  std::vector<suspect_run> &Runs = Suspects.Running[Upstream];
  const auto Run =
      std::find_if(Runs.begin(), Runs.end(), [&](const suspect_run &Candidate) {
        return Candidate.Fingerprint == Fingerprint;
      });
  if (Run == Runs.end())
    return nanoseconds(0);
  const nanoseconds Ran = Now - Run->StartedAt;
  *Run = Runs.back();
  Runs.pop_back();
  updateRunCount(Suspects, Fingerprint, false);
  if (End == run_end::Completed)
    discountLosses(Suspects, Fingerprint);
  if (End != run_end::Lost)
    return nanoseconds(0);
  recordLoss(Suspects, Fingerprint, Upstream, Now);
  return pauseBeforeRetry(Ran);
}

void noteUpstreamLost(crash_suspects &Suspects, upstream_id Upstream,
                      time_point Now) {
  const auto Found = Suspects.Running.find(Upstream);
  if (Found == Suspects.Running.end())
    return;
  const std::vector<suspect_run> Runs = Found->second;
  for (const suspect_run &Run : Runs)
    noteRunEnded(Suspects, Upstream, Run.Fingerprint, run_end::Lost, Now);
  Suspects.Running.erase(Upstream);
}

bool mergeSuspects(crash_suspects &Suspects,
                   std::span<const suspect_record> Records, time_point Now) {
  bool Changed = false;
  for (const suspect_record &Record : Records) {
    const milliseconds Remaining = std::min<milliseconds>(
        Record.Remaining, Suspects.Settings.QuarantineTime);
    if (Remaining <= milliseconds(0) || Record.Lost.empty())
      continue;
    Changed = addLosses(Suspects, Record.Fingerprint, Record.Lost,
                        Now + Remaining, Now) ||
              Changed;
  }
  return Changed;
}

std::vector<suspect_record> takeUnshared(crash_suspects &Suspects,
                                         time_point Now) {
  std::vector<suspect_record> Records;
  for (auto &[Fingerprint, Suspect] : Suspects.Suspects) {
    if (!Suspect.Unshared)
      continue;
    Suspect.Unshared = false;
    const milliseconds Remaining =
        std::chrono::duration_cast<milliseconds>(Suspect.ExpiresAt - Now);
    if (Remaining > milliseconds(0) && countedLosses(Suspect) > 0)
      Records.push_back({Fingerprint, Suspect.Lost, Remaining});
  }
  return Records;
}

void expireSuspects(crash_suspects &Suspects, time_point Now) {
  std::erase_if(Suspects.Suspects, [&Suspects, Now](const auto &Entry) {
    if (Entry.second.ExpiresAt > Now)
      return false;
    unindex(Suspects, Entry.first, Entry.second);
    return true;
  });
  std::erase_if(Suspects.Running,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace spindle
