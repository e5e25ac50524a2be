#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ADMISSION_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ADMISSION_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/send_rate_budget.h"
#include "LibGateway/upstream_entry.h"
#include "LibGateway/upstream_limits.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spindle {

/// Until when one start of an upstream accepts no request of this host.
struct stated_refusal {
  std::int64_t StartedAt = 0;
  time_point Until;
};

/// Decides whether this host may send a request to an upstream now: not if its
/// zone is evacuated or it has turned this host away for a time, and only at a
/// limited rate while it warms up or states a limit. Modified only through the
/// functions below, none of which is thread-safe.
struct upstream_admission {
  std::string OwnName;
  /// The registered hosts, which share the rate of each upstream.
  std::vector<host_location> Hosts;
  /// The request rate that the upstreams of a service tolerate while they warm
  /// up, by service. Upstreams of other services need no warm-up.
  std::map<std::string, double, std::less<>> WarmUpRates;
  std::set<std::string, std::less<>> EvacuatedZones;
  /// The ends of the warm-ups.
  std::unordered_map<upstream_id, time_point> WarmUps;
  upstream_limits Limits;
  std::unordered_map<upstream_id, stated_refusal> Refusals;
  /// When this host sent its last request to an upstream.
  std::unordered_map<upstream_id, time_point> LastSends;
};

/// Sets the zones whose upstreams get no requests. The upstreams of a zone that
/// returns count as warming up until their registrations are certain to show
/// it if they are.
void setEvacuatedZones(upstream_admission &Admission,
                       std::set<std::string, std::less<>> Zones,
                       std::span<const upstream_pointer> Upstreams,
                       time_point Now);
/// Drops the state of upstreams that are not registered.
void retainUpstreams(upstream_admission &Admission,
                     const std::set<upstream_id> &Registered);
/// Applies a new or changed registration.
void noteRegistration(upstream_admission &Admission,
                      const upstream_entry &Upstream, time_point Now);
/// Records that an upstream could not be reached. It may have restarted and
/// warm up before its registration shows it.
void noteUnreachable(upstream_admission &Admission,
                     const upstream_entry &Upstream, time_point Now);
/// Records that an upstream accepts no request of this host for \p Time.
void noteRefusal(upstream_admission &Admission, const upstream_entry &Upstream,
                 milliseconds Time, time_point Now);
bool isEvacuated(const upstream_admission &Admission,
                 const upstream_entry &Upstream);
bool isWarmingUp(const upstream_admission &Admission,
                 const upstream_entry &Upstream, time_point Now);
/// The rate at which all hosts together may send to the upstream; none if it is
/// not limited.
std::optional<double> sendRate(const upstream_admission &Admission,
                               const upstream_entry &Upstream, time_point Now);
/// When a request may be sent to the upstream, which may be in the past; none
/// if this host may send none.
std::optional<time_point> nextSendAt(const upstream_admission &Admission,
                                     const upstream_entry &Upstream,
                                     time_point Now);
/// Whether a request may be sent to the upstream now.
bool maySend(const upstream_admission &Admission,
             const upstream_entry &Upstream, time_point Now);
/// The same; if so, counts the request.
bool admitSend(upstream_admission &Admission, const upstream_entry &Upstream,
               time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_ADMISSION_H
