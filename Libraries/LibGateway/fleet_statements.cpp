#include "LibGateway/fleet_table.h"

#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

/// Whether the upstream states a limit.
/// Precondition: Mutex is held.
bool fleet_table::isLimited(const known_upstream &Known) const {
  return limitOf(Admission.Limits, *Known.Entry).has_value();
}

static void logLimit(const upstream_entry &Upstream,
                     const upstream_limit &Limit, time_point Now) {
  const milliseconds Age =
      std::chrono::duration_cast<milliseconds>(Now - Limit.StatedAt);
  logEvent(log_event::UpstreamLimitStated,
           {{"upstream", Upstream.Name},
            {"per_second", Limit.RequestsPerSecond
                               ? std::to_string(*Limit.RequestsPerSecond)
                               : std::string("none")},
            {"age_ms", std::to_string(Age.count())}});
}

/// The entry of a registration, which counts as draining if the upstream has
/// stated that it leaves.
/// Precondition: Mutex is held.
upstream_pointer
fleet_table::withStatements(const upstream_pointer &Entry) const {
  if (Entry->Draining || !isLeaving(Leaving, *Entry, Clock.now()))
    return Entry;
  upstream_entry Draining = *Entry;
  Draining.Draining = true;
  return std::make_shared<const upstream_entry>(std::move(Draining));
}

/// Precondition: Mutex is held.
bool fleet_table::recordLeaving(known_upstream &Known, time_point StatedAt) {
  const upstream_entry &Entry = *Known.Entry;
  if (!noteLeaving(Leaving, {Entry.Id, Entry.StartedAt, StatedAt}))
    return false;
  Known.Entry = withStatements(Known.Entry);
  return true;
}

statement_changes
fleet_table::noteStatement(upstream_id Id, const upstream_statement &Statement,
                           time_point SentAt) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end())
    return {};
  const time_point Now = Clock.now();
  statement_changes Changes;
  Changes.Limit = spindle::noteStatement(Admission.Limits, *Found->second.Entry,
                                         Statement, SentAt, Now);
  if (Statement.RefusesFor)
    noteRefusal(Admission, *Found->second.Entry, *Statement.RefusesFor, Now);
  Changes.Leaving = Statement.Leaving && recordLeaving(Found->second, Now);
  return Changes;
}

void fleet_table::noteDraining(const upstream_entry &Upstream) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  noteLeaving(Leaving, {Upstream.Id, Upstream.StartedAt, Clock.now()});
}

static std::int64_t countMilliseconds(nanoseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

void fleet_table::writeStatements(
    host_link::UpstreamStatements &Message) const {
  static constexpr std::size_t MaxReported = 64;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Now = Clock.now();
  for (const reported_limit &Reported :
       limitsToReport(Admission.Limits, MaxReported, Now)) {
    const upstream_limit &Limit = Reported.Limit;
    host_link::UpstreamLimit &Written = *Message.add_limits();
    Written.set_upstream(Reported.Upstream.Value);
    Written.set_started_at(Limit.StartedAt);
    if (Limit.RequestsPerSecond)
      Written.set_requests_per_second(*Limit.RequestsPerSecond);
    Written.set_age_ms(countMilliseconds(Now - Limit.StatedAt));
  }
  for (const stated_leaving &Reported :
       leavingToReport(Leaving, MaxReported, Now)) {
    host_link::UpstreamLeaving &Written = *Message.add_leaving();
    Written.set_upstream(Reported.Upstream.Value);
    Written.set_started_at(Reported.StartedAt);
    Written.set_age_ms(countMilliseconds(Now - Reported.StatedAt));
  }
}

/// Precondition: Mutex is held.
void fleet_table::mergeLimit(const host_link::UpstreamLimit &Reported) {
  const auto Found = Upstreams.find(upstream_id{Reported.upstream()});
  if (Found == Upstreams.end())
    return;
  const time_point Now = Clock.now();
  upstream_limit Limit;
  Limit.StartedAt = Reported.started_at();
  if (Reported.has_requests_per_second())
    Limit.RequestsPerSecond = Reported.requests_per_second();
  Limit.StatedAt = Now - milliseconds(Reported.age_ms());
  if (spindle::mergeLimit(Admission.Limits, *Found->second.Entry, Limit))
    logLimit(*Found->second.Entry, Limit, Now);
}

/// Precondition: Mutex is held.
void fleet_table::mergeLeaving(const host_link::UpstreamLeaving &Reported) {
  const auto Found = Upstreams.find(upstream_id{Reported.upstream()});
  if (Found == Upstreams.end() ||
      Found->second.Entry->StartedAt != Reported.started_at())
    return;
  const time_point StatedAt = Clock.now() - milliseconds(Reported.age_ms());
  if (recordLeaving(Found->second, StatedAt))
    logEvent(log_event::UpstreamLeavingStated,
             {{"upstream", Found->second.Entry->Name},
              {"age_ms", std::to_string(Reported.age_ms())}});
}

void fleet_table::mergeStatements(
    const host_link::UpstreamStatements &Message) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const host_link::UpstreamLimit &Limit : Message.limits())
    mergeLimit(Limit);
  for (const host_link::UpstreamLeaving &Stated : Message.leaving())
    mergeLeaving(Stated);
}

std::size_t fleet_table::limitedUpstreams() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return static_cast<std::size_t>(std::count_if(
      Upstreams.begin(), Upstreams.end(),
      [this](const auto &Pair) { return isLimited(Pair.second); }));
}

} // namespace spindle
