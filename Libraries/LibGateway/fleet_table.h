#ifndef PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H
#define PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/leaving_upstreams.h"
#include "LibGateway/prompt_cache_estimate.h"
#include "LibGateway/request_description.h"
#include "LibGateway/upstream_admission.h"
#include "LibGateway/upstream_choice.h"
#include "LibGateway/upstream_entry.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/outlier_detector.h"
#include "LibRouting/engine_facts.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace spindle {

/// Criteria for choosing an upstream of a service for a request.
struct upstream_query {
  std::string_view Service;
  /// Null for a request to a service without models.
  const request_description *Model = nullptr;
  /// The minimum version of the adapter.
  std::uint64_t AdapterVersion = 0;
  std::span<const upstream_id> Avoid;
  /// If set, only this upstream is considered.
  upstream_id Only;
  /// The latency objective, and the time that remains until it.
  milliseconds Objective{1'000};
  milliseconds Remaining{1'000};
  std::size_t BodyBytes = 0;
};

struct chosen_upstream {
  upstream_pointer Upstream;
  double ExpectedMilliseconds = 0;
  /// ExpectedMilliseconds without the wait for an adapter slot.
  double ServiceMilliseconds = 0;
  bool AdapterLoaded = false;
  /// This engine, followed by the engines of its zone whose value is nearly as
  /// high and which may load the adapter instead.
  std::vector<upstream_pointer> Engines;
  /// The usable engines in the zone of this one.
  std::size_t EnginesInZone = 0;
};

/// An engine on which a request may be placed.
struct placeable_engine {
  upstream_pointer Entry;
  /// The probability, from 0 to 1, that it serves a request.
  double Health = 1;
  engine_facts Facts;
};

/// An adapter with requests in flight on an engine.
struct adapter_use {
  upstream_id Engine;
  adapter_name Adapter;
};

/// How many adapters an engine could load now.
struct available_slots {
  upstream_id Engine;
  std::size_t Count = 0;
};

/// Ranks upstreams by expected worth with the default costs. Thread-safe.
std::vector<upstream_choice>
rankByWorth(std::span<const upstream_candidate> Candidates,
            const choice_request &Request);

/// What a statement has changed.
struct statement_changes {
  bool Limit = false;
  bool Leaving = false;
};

/// Who sent facts of engines.
enum class facts_source {
  /// A host of this leader's zone. Facts of engines elsewhere are passed on.
  HostOfZone,
  /// The leader of another zone.
  OtherLeader,
};

using facts_field = google::protobuf::RepeatedPtrField<host_link::EngineFacts>;

/// The upstreams known to this host, with their load, cached prompts and
/// health. All methods are thread-safe and none blocks.
class fleet_table {
public:
  fleet_table(const runtime_clock &Clock, std::string OwnZone,
              upstream_ranking Rank = rankByWorth);

  /// Replaces the list of upstreams and keeps the state of those that remain.
  void applyUpstreams(const std::vector<upstream_pointer> &Upstreams);
  /// Sets the prefix cache size of the engines of \p Service in tokens.
  void setCacheTokens(const std::string &Service, std::int64_t Tokens);
  /// Sets the request rate that each upstream of \p Service tolerates while it
  /// warms up; 0 if it needs no warm-up.
  void setWarmUpRate(const std::string &Service, double RequestsPerSecond);
  /// Sets the registered hosts, which share the warm-up of upstreams.
  void setHosts(std::vector<host_location> Hosts, std::string OwnName);
  /// Sets the zones whose upstreams get no requests.
  void setEvacuatedZones(std::set<std::string, std::less<>> Zones);

  upstream_pointer find(upstream_id Id) const;
  std::vector<upstream_pointer> all() const;
  /// Chooses an upstream; returns nullopt if none is usable.
  std::optional<chosen_upstream> choose(const upstream_query &Query) const;
  /// The engines of a zone on which the request may be placed.
  std::vector<placeable_engine> placeable(const upstream_query &Query,
                                          std::string_view Zone) const;
  std::vector<upstream_id> enginesIn(std::string_view Zone,
                                     std::string_view Service) const;
  /// The engines of a zone to which this host may not send the request now, or
  /// which would probably fail it.
  std::vector<upstream_id> unusable(const upstream_query &Query,
                                    std::string_view Zone) const;
  /// Whether the service has an upstream that accepts requests.
  bool hasUpstream(std::string_view Service) const;

  /// How long it takes until this host may send to some upstream of the
  /// service; none if that is not known.
  std::optional<milliseconds> timeUntilSend(std::string_view Service) const;

  /// Whether a request may be sent to the upstream now; if so, counts it. Call
  /// it immediately before the send, as a request may have waited since
  /// choose().
  bool admit(upstream_id Id);
  /// Applies what a response of the upstream states of itself; the request was
  /// sent at \p SentAt.
  statement_changes noteStatement(upstream_id Id,
                                  const upstream_statement &Statement,
                                  time_point SentAt);
  /// Records that this start of an upstream leaves, for a registration that
  /// does not show it.
  void noteDraining(const upstream_entry &Upstream);
  /// Writes what upstreams have stated, for other hosts.
  void writeStatements(host_link::UpstreamStatements &Message) const;
  /// Applies what upstreams have stated to other hosts.
  void mergeStatements(const host_link::UpstreamStatements &Message);
  /// The number of upstreams that state a limit.
  std::size_t limitedUpstreams() const;
  /// Records what an engine stated of its load at \p At. One older than the
  /// known reading is ignored.
  void noteReading(upstream_id Id, const engine_reading &Reading,
                   time_point At);
  /// Records how long an engine took to read a prompt. A time that is not
  /// finite or an expectation that is not positive is ignored.
  void noteReadTime(upstream_id Id, double ExpectedMilliseconds,
                    double ActualMilliseconds);
  /// What is known of an engine; nothing for an unknown one.
  engine_facts facts(upstream_id Id) const;
  /// Writes what this host has itself learned of engines since the last call,
  /// for its leader.
  void writeOwnFacts(facts_field &Message);
  /// Writes what this host and the others of its zone have learned since the
  /// last call of the engines of \p Zone, for the leader there.
  void writeFactsOf(std::string_view Zone, facts_field &Message);
  /// Applies what other hosts have learned of engines.
  void mergeFacts(const facts_field &Message, facts_source Source);
  /// The number of engines that state that work takes much longer than usual.
  std::size_t slowedEngines() const;
  /// Records that no connection to the upstream could be opened.
  void noteUnreachable(upstream_id Id);
  /// Records that a request was sent. Its prompt tokens count as unread until
  /// notePrefillDone(). Each call must be followed by one noteRequestEnd().
  void noteRequestSent(upstream_id Id, const request_description &Request);
  void notePrefillDone(upstream_id Id, std::int64_t UnreadTokens);
  /// Records that data was received from the upstream.
  void noteActivity(upstream_id Id);
  void noteRequestEnd(upstream_id Id, const request_description &Request);
  /// Records that an engine has processed a prompt with its adapter.
  void notePrompt(upstream_id Id, const request_description &Request);
  void noteOutcome(upstream_id Id, call_outcome Outcome);
  /// Records that the leader of a zone did not answer this host, which probably
  /// cannot reach the zone's upstreams either.
  void noteZoneSilent(const std::string &Zone);
  /// Records whether an engine has an adapter, ahead of its next registration.
  void noteAdapter(upstream_id Id, const versioned_adapter &Adapter,
                   bool Present);

  /// Records how many adapters an engine could load now.
  void noteAvailableSlots(const available_slots &Available);
  /// The recently reported available slots of engines outside \p Zone.
  std::vector<available_slots>
  availableSlotsOutside(std::string_view Zone) const;
  /// The load of this host's requests on upstreams.
  std::vector<host_link::UpstreamLoad> localLoads() const;
  /// The adapters used by this host's requests in flight.
  std::vector<adapter_use> adaptersInUse() const;
  /// Replaces the load of other hosts' requests on upstreams.
  void setRemoteLoads(const std::vector<host_link::UpstreamLoad> &Loads);

private:
  /// What was learned of an engine and not reported yet.
  struct unreported_facts {
    bool HasReading = false;
    read_time_samples ReadTimes;
    time_point LastReadTime;
  };

  struct known_upstream {
    upstream_pointer Entry;
    std::uint32_t Requests = 0;
    std::int64_t UnreadTokens = 0;
    std::uint32_t RemoteRequests = 0;
    std::int64_t RemoteUnreadTokens = 0;
    prompt_cache_estimate Prompts;
    std::map<adapter_name, std::uint64_t> Adapters;
    std::map<adapter_name, std::uint32_t> AdapterUses;
    /// When the first request was sent after which nothing has been received;
    /// nullopt if data was received since or no request is in flight.
    std::optional<time_point> SilentSince;
    std::size_t AvailableSlots = 0;
    /// When AvailableSlots expires; after that the engine is assumed to have an
    /// available slot.
    time_point AvailableSlotsValidUntil;
    /// When this start of the upstream became known here.
    time_point KnownSince;
    engine_facts Facts;
    /// What this host has learned itself, and what hosts of its zone have
    /// reported of an engine elsewhere.
    unreported_facts OwnUnreported;
    unreported_facts RelayedUnreported;
  };

  /// Candidates, each with its state.
  struct candidate_list {
    std::vector<upstream_candidate> Candidates;
    std::vector<const known_upstream *> States;
  };

  known_upstream *findKnown(upstream_id Id);
  static void addReadTimes(unreported_facts &Unreported,
                           const read_time_samples &Added, time_point Now);
  static bool hasUnreported(const unreported_facts &Unreported);
  void dropExpiredUnreported(known_upstream &Known) const;
  void writeUnreported(known_upstream &Known,
                       host_link::EngineFacts &Message) const;
  void writeFacts(std::string_view Recipient,
                  std::optional<std::string_view> Zone, facts_field &Message);
  void mergeReading(known_upstream &Known,
                    const host_link::EngineFacts &Reported,
                    facts_source Source);
  void mergeReadTimes(known_upstream &Known,
                      const host_link::EngineFacts &Reported,
                      facts_source Source);
  upstream_pointer withStatements(const upstream_pointer &Entry) const;
  bool recordLeaving(known_upstream &Known, time_point StatedAt);
  void mergeLimit(const host_link::UpstreamLimit &Reported);
  void mergeLeaving(const host_link::UpstreamLeaving &Reported);
  bool isLimited(const known_upstream &Known) const;
  candidate_list candidates(const upstream_query &Query,
                            bool LoadsOnLimited) const;
  upstream_candidate candidate(const known_upstream &Known,
                               const upstream_query &Query) const;
  std::vector<upstream_pointer> entries() const;
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
  upstream_admission Admission;
  leaving_upstreams Leaving;
  outlier_detector Outliers;
  /// The engine after which the next report of facts begins, by recipient.
  std::map<std::string, upstream_id, std::less<>> NextFacts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FLEET_TABLE_H
