#ifndef PARSLEYSPINDLE_LIBRESILIENCE_CRASH_SUSPECTS_H
#define PARSLEYSPINDLE_LIBRESILIENCE_CRASH_SUSPECTS_H

#include "LibCore/runtime_clock.h"
#include "LibResilience/request_fingerprint.h"

#include <cstddef>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spindle {

/// What is told to other hosts of one suspect.
struct suspect_record {
  request_fingerprint Fingerprint;
  /// The upstreams that were lost while they ran it, in ascending order.
  std::vector<upstream_id> Lost;
  milliseconds Remaining{0};
};

/// A request that ran on upstreams when they were lost.
struct crash_suspect {
  /// The upstreams that were lost while they ran it, in ascending order. A
  /// set, so that hosts merge what they know in any order, any number of
  /// times.
  std::vector<upstream_id> Lost;
  /// Those of Lost that no longer count, as the request has since run to its
  /// end elsewhere.
  std::vector<upstream_id> Excused;
  time_point ExpiresAt;
  /// How many times it runs at present.
  std::uint32_t Running = 0;
  /// Whether other hosts have not been told of the last change.
  bool Unshared = false;
};

struct crash_suspect_settings {
  /// How long a suspicion and a quarantine last.
  seconds QuarantineTime{300};
  /// Suspects kept; beyond it the one that expires first is dropped, those
  /// in quarantine last.
  std::size_t MostSuspects = 4096;
};

/// Losses of different upstreams after which a request is held back.
inline constexpr std::size_t LossesForQuarantine = 2;

/// A request that runs on an upstream on behalf of this host.
struct suspect_run {
  request_fingerprint Fingerprint;
  time_point StartedAt;
};

/// The requests that may have crashed upstreams. Changed through the functions
/// below only; none of them is thread-safe.
struct crash_suspects {
  crash_suspect_settings Settings;
  std::unordered_map<request_fingerprint, crash_suspect> Suspects;
  /// (in quarantine, expiry, fingerprint): the first is dropped first.
  std::set<std::pair<std::pair<bool, time_point>, request_fingerprint>> Expiry;
  /// What runs where on behalf of this host.
  std::unordered_map<upstream_id, std::vector<suspect_run>> Running;
};

/// How a run of a request on an upstream ended.
enum class run_end {
  /// The whole answer came: the request crashes nothing.
  Completed,
  /// It ended otherwise while the upstream lived on.
  Failed,
  /// The upstream's connection was lost.
  Lost,
};

/// Tells whether the request is held back; asking prolongs a quarantine, so
/// that a caller who repeats it for ever stays held back.
bool isQuarantined(crash_suspects &Suspects, request_fingerprint Fingerprint,
                   time_point Now);
/// Tells whether the request is under any suspicion.
bool isSuspect(const crash_suspects &Suspects, request_fingerprint Fingerprint,
               time_point Now);
/// Tells whether the request may start on the upstream: a suspect runs once
/// at a time, on no upstream that was lost while running it, and on none that
/// runs another suspect, so that a second loss points at one request.
bool mayStartOn(const crash_suspects &Suspects, upstream_id Upstream,
                request_fingerprint Fingerprint, time_point Now);
/// Notes that a run begins.
void noteRunStarted(crash_suspects &Suspects, upstream_id Upstream,
                    request_fingerprint Fingerprint, time_point Now);
/// How long to wait before a request is retried that was lost after it had
/// run for \p Ran. What crashes an upstream does so a certain time after its
/// start, so that what had run longer waits until the culprit has shown
/// itself again. Thread-safe.
nanoseconds pauseBeforeRetry(nanoseconds Ran);
/// Notes the end of a run and returns how long to wait before a retry; 0 for a
/// run that noteUpstreamLost() has ended, on which it has no effect.
/// Precondition: noteRunStarted() began the run.
nanoseconds noteRunEnded(crash_suspects &Suspects, upstream_id Upstream,
                         request_fingerprint Fingerprint, run_end End,
                         time_point Now);
/// Ends every run on the upstream as Lost: it has died or restarted.
void noteUpstreamLost(crash_suspects &Suspects, upstream_id Upstream,
                      time_point Now);
/// Merges what another host knows; returns whether anything was new.
bool mergeSuspects(crash_suspects &Suspects,
                   std::span<const suspect_record> Records, time_point Now);
/// The suspects that changed since the last call, to be told to other hosts.
std::vector<suspect_record> takeUnshared(crash_suspects &Suspects,
                                         time_point Now);
/// Drops what has expired.
void expireSuspects(crash_suspects &Suspects, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_CRASH_SUSPECTS_H
