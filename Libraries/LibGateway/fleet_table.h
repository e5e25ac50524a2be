#ifndef PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H
#define PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/prompt_memory.h"
#include "LibGateway/request_description.h"
#include "LibGateway/upstream_choice.h"
#include "LibGateway/upstream_entry.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/outlier_detector.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace spindle {

/// What a request asks of the choice among a service's upstreams.
struct upstream_query {
  std::string_view Service;
  /// Null for a call to a plain service.
  const request_description *Model = nullptr;
  /// The version that the adapter must have at least.
  std::uint64_t AdapterVersion = 0;
  std::span<const upstream_id> Avoid;
  /// If set, only this upstream is considered.
  upstream_id Only;
  /// The latency that callers expect, and what is left of it.
  milliseconds Objective{1'000};
  milliseconds Remaining{1'000};
  std::size_t BodyBytes = 0;
};

struct chosen_upstream {
  upstream_pointer Upstream;
  double ExpectedMilliseconds = 0;
  /// The same without the wait for a place for the adapter.
  double ServiceMilliseconds = 0;
  bool AdapterLoaded = false;
  /// The engines of its zone, itself first, that are worth nearly as much and
  /// might load the adapter instead.
  std::vector<upstream_pointer> Engines;
};

/// An adapter that requests use at an engine.
struct adapter_use {
  upstream_id Engine;
  adapter_name Adapter;
};

/// How many adapters an engine could load now.
struct available_slots {
  upstream_id Engine;
  std::size_t Count = 0;
};

/// The ranking by expected worth, with the costs in use. Thread-safe.
std::vector<upstream_choice>
rankByWorth(std::span<const upstream_candidate> Candidates,
            const choice_request &Request);

/// What this host knows of upstreams: who is there, what is under way, what
/// prompts were read where, who fails. Thread-safe in every method; no method
/// blocks.
class fleet_table {
public:
  fleet_table(const runtime_clock &Clock, std::string OwnZone,
              upstream_ranking Rank = rankByWorth);

  /// Replaces the list of upstreams. What is known of those that stay is kept.
  void applyUpstreams(const std::vector<upstream_pointer> &Upstreams);
  /// Sets how many tokens of prompts an engine of \p Service remembers.
  void setCacheTokens(const std::string &Service, std::int64_t Tokens);

  upstream_pointer find(upstream_id Id) const;
  std::vector<upstream_pointer> all() const;
  /// Chooses an upstream; none if there is none that may be used.
  std::optional<chosen_upstream> choose(const upstream_query &Query) const;
  /// Whether the service has an upstream that takes requests.
  bool hasUpstream(std::string_view Service) const;

  /// Notes a request that is sent; \p UnreadTokens are counted until
  /// notePrefillDone(). Each is followed by one noteRequestEnd().
  void noteRequestSent(upstream_id Id, const request_description &Request);
  void notePrefillDone(upstream_id Id, std::int64_t UnreadTokens);
  /// Notes that something came from the upstream.
  void noteActivity(upstream_id Id);
  void noteRequestEnd(upstream_id Id, const request_description &Request);
  /// Notes that an engine has read a prompt for its adapter.
  void notePrompt(upstream_id Id, const request_description &Request);
  void noteOutcome(upstream_id Id, call_outcome Outcome);
  /// Notes that the lead of a zone did not answer this host, which probably
  /// does not reach the zone's upstreams either.
  void noteZoneSilent(const std::string &Zone);
  /// Notes which adapter an engine has, before its registration tells.
  void noteAdapter(upstream_id Id, const loaded_adapter &Adapter, bool Present);

  /// Notes how many adapters an engine could load now.
  void noteAvailableSlots(const available_slots &Available);
  /// The rooms that were told lately of engines outside \p Zone.
  std::vector<available_slots>
  availableSlotsOutside(std::string_view Zone) const;
  /// What this host has under way.
  std::vector<host_link::UpstreamLoad> localLoads() const;
  /// The adapters that requests of this host use at present.
  std::vector<adapter_use> adaptersInUse() const;
  /// Replaces what other hosts have under way.
  void setRemoteLoads(const std::vector<host_link::UpstreamLoad> &Loads);

private:
  struct known_upstream {
    upstream_pointer Entry;
    std::uint32_t Requests = 0;
    std::int64_t UnreadTokens = 0;
    std::uint32_t RemoteRequests = 0;
    std::int64_t RemoteUnreadTokens = 0;
    prompt_cache_estimate Prompts;
    std::map<adapter_name, std::uint64_t> Adapters;
    std::map<adapter_name, std::uint32_t> AdapterUses;
    /// When a request was sent after which nothing was heard; none if
    /// something was heard since the last send.
    std::optional<time_point> SilentSince;
    std::size_t AvailableSlots = 0;
    /// Until when Room is believed; unknown room counts as some.
    time_point AvailableSlotsValidUntil;
  };

  upstream_candidate candidate(const known_upstream &Known,
                               const upstream_query &Query) const;
  upstream_id affinityEngine(const upstream_query &Query) const;
  double healthOf(const known_upstream &Known) const;
  bool isEligible(const known_upstream &Known,
                  const upstream_query &Query) const;

  const runtime_clock &Clock;
  const std::string OwnZone;
  const upstream_ranking Rank;
  mutable std::mutex Mutex;
  std::map<upstream_id, known_upstream> Upstreams;
  std::map<std::string, std::int64_t, std::less<>> CacheTokens;
  std::map<std::string, time_point, std::less<>> SilentUntil;
  outlier_detector Outliers;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H
