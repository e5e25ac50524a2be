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

/// The information about one suspect that hosts exchange.
struct suspect_record {
  request_fingerprint Fingerprint;
  /// The upstreams that were lost while running it, in ascending order.
  std::vector<upstream_id> Lost;
  milliseconds Remaining{0};
};

/// A request that ran on upstreams when they were lost.
struct crash_suspect {
  /// The upstreams that were lost while running it, in ascending order. A set,
  /// so that merging is commutative and idempotent between hosts.
  std::vector<upstream_id> Lost;
  /// Those of Lost that no longer count because the request has since
  /// completed on another upstream.
  std::vector<upstream_id> Discounted;
  time_point ExpiresAt;
  /// The number of its runs in progress.
  std::uint32_t Running = 0;
  /// Whether the last change has yet to be sent to other hosts.
  bool Unshared = false;
};

struct crash_suspect_settings {
  /// How long a request stays a suspect or in quarantine.
  seconds QuarantineTime{300};
  /// Maximum number of suspects. Beyond it, the suspect that expires first is
  /// evicted; those in quarantine are evicted last.
  std::size_t MaxSuspects = 4096;
};

/// Number of different upstreams lost after which a request is quarantined.
inline constexpr std::size_t LossesForQuarantine = 2;

/// A request that runs on an upstream on behalf of this host.
struct suspect_run {
  request_fingerprint Fingerprint;
  time_point StartedAt;
};

/// The requests that may have crashed upstreams. Modified only through the
/// functions below, none of which is thread-safe.
struct crash_suspects {
  crash_suspect_settings Settings;
  std::unordered_map<request_fingerprint, crash_suspect> Suspects;
  /// Eviction order: (in quarantine, expiry, fingerprint).
  std::set<std::pair<std::pair<bool, time_point>, request_fingerprint>> Expiry;
  /// The runs in progress on behalf of this host, by upstream.
  std::unordered_map<upstream_id, std::vector<suspect_run>> Running;
};

/// How a run of a request on an upstream ended.
enum class run_end {
  /// The response was complete: the request does not crash upstreams.
  Completed,
  /// The run failed, but the upstream kept running.
  Failed,
  /// The connection to the upstream was lost.
  Lost,
};

/// Returns whether the request is in quarantine. Each call may extend the
/// quarantine, so that a request that is repeated forever stays in it.
bool isQuarantined(crash_suspects &Suspects, request_fingerprint Fingerprint,
                   time_point Now);
/// Returns whether the request is a suspect.
bool isSuspect(const crash_suspects &Suspects, request_fingerprint Fingerprint,
               time_point Now);
/// Returns whether the request may start on the upstream. A suspect has only
/// one run at a time, never on an upstream that was lost while running it, and
/// never beside another suspect, so that a second loss identifies one request.
bool mayStartOn(const crash_suspects &Suspects, upstream_id Upstream,
                request_fingerprint Fingerprint, time_point Now);
/// Records the start of a run.
void noteRunStarted(crash_suspects &Suspects, upstream_id Upstream,
                    request_fingerprint Fingerprint, time_point Now);
/// Returns the delay before the retry of a request that was lost after it had
/// run for \p Ran. A request that crashes upstreams tends to do so at a certain
/// time after its start. Requests that had run for longer therefore wait until
/// the one that caused the crash has had time to crash again. Thread-safe.
nanoseconds pauseBeforeRetry(nanoseconds Ran);
/// Records the end of a run and returns the delay before a retry. Has no effect
/// and returns 0 for a run that noteUpstreamLost() has already ended.
/// Precondition: noteRunStarted() was called for the run.
nanoseconds noteRunEnded(crash_suspects &Suspects, upstream_id Upstream,
                         request_fingerprint Fingerprint, run_end End,
                         time_point Now);
/// Ends every run on the upstream as Lost: it has crashed or restarted.
void noteUpstreamLost(crash_suspects &Suspects, upstream_id Upstream,
                      time_point Now);
/// Merges records from another host; returns whether any loss was new.
bool mergeSuspects(crash_suspects &Suspects,
                   std::span<const suspect_record> Records, time_point Now);
/// Returns the suspects that changed since the last call, for other hosts.
std::vector<suspect_record> takeUnshared(crash_suspects &Suspects,
                                         time_point Now);
/// Removes expired suspects and empty lists of runs.
void expireSuspects(crash_suspects &Suspects, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_CRASH_SUSPECTS_H
