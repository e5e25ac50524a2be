#include "LibHost/suspect_registry.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibResilience/suspect_document.h"

#include <algorithm>
#include <mutex>
#include <vector>

#include <boost/fiber/future.hpp>
#include <nlohmann/json.hpp>

namespace spindle {

using lock = std::lock_guard<std::mutex>;
using nlohmann::json;

/// Time limit for one ShareSuspects call. A call to a peer that relays within
/// its zone takes up to twice as long.
static constexpr milliseconds ShareTimeout{250};
/// Hosts of each other zone that receive records and relay them within it.
static constexpr std::size_t RelaysPerZone = 2;
/// Attempts to update the platform's object when other hosts change it too.
static constexpr int MaxUpdateAttempts = 4;
static constexpr std::string_view DocumentName = "fleet";
/// Records kept while the platform does not respond.
static constexpr std::size_t MaxPendingRecords = 4096;

struct suspect_registry::state {
  state(const runtime_clock &UsedClock, metrics *UsedMetrics,
        suspect_registry_ports UsedPorts)
      : Clock(UsedClock), Metrics(UsedMetrics), Ports(std::move(UsedPorts)) {}

  const runtime_clock &Clock;
  metrics *const Metrics;
  const suspect_registry_ports Ports;
  mutable std::mutex Mutex;
  // The members below are guarded by Mutex.
  crash_suspects Suspects;
  std::shared_ptr<const host_view> View = std::make_shared<host_view>();
  /// Records that the platform has not accepted yet.
  std::vector<suspect_record> Pending;
};

static std::string toHex(std::uint64_t Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text.push_back(Digits[Value >> Shift & 0xF]);
  return Text;
}

static suspect_document parseDocument(std::string_view Body) {
  suspect_document Document;
  const json Parsed = tryParseBoundedJson(Body);
  if (!Parsed.is_object() || !Parsed.contains("suspects"))
    return Document;
  for (const json &Entry : Parsed["suspects"]) {
    stored_suspect Suspect;
    for (const json &Upstream : Entry.at("lost"))
      Suspect.Lost.push_back({Upstream.get<std::uint64_t>()});
    std::sort(Suspect.Lost.begin(), Suspect.Lost.end());
    Suspect.ExpiresAt = {Entry.at("expiresAt").get<std::int64_t>()};
    Document[{Entry.at("fingerprint").get<std::uint64_t>()}] = Suspect;
  }
  return Document;
}

/// Parses the document. One in a format that this version does not write counts
/// as empty, and the next write replaces it.
static suspect_document readDocument(std::string_view Body) {
  try {
    return parseDocument(Body);
  } catch (const json::exception &) {
    return {};
  }
}

static std::string writeDocument(const suspect_document &Document) {
  json Entries = json::array();
  for (const auto &[Fingerprint, Suspect] : Document) {
    json Lost = json::array();
    for (const upstream_id Upstream : Suspect.Lost)
      Lost.push_back(Upstream.Value);
    Entries.push_back({{"fingerprint", Fingerprint.Value},
                       {"lost", Lost},
                       {"expiresAt", Suspect.ExpiresAt.Milliseconds}});
  }
  return json{{"suspects", Entries}}.dump();
}

static std::vector<suspect_record>
readRecords(const host_link::ShareSuspectsRequest &Request) {
  std::vector<suspect_record> Records;
  for (const host_link::Suspect &Suspect : Request.suspects()) {
    suspect_record Record;
    Record.Fingerprint = {Suspect.fingerprint()};
    Record.Remaining = milliseconds(Suspect.remaining_ms());
    for (const std::uint64_t Upstream : Suspect.upstreams())
      Record.Lost.push_back({Upstream});
    Records.push_back(Record);
  }
  return Records;
}

static host_link::ShareSuspectsRequest
writeRecords(const host_link::Sender &Self,
             const std::vector<suspect_record> &Records) {
  host_link::ShareSuspectsRequest Request;
  *Request.mutable_sender() = Self;
  for (const suspect_record &Record : Records) {
    host_link::Suspect *const Suspect = Request.add_suspects();
    Suspect->set_fingerprint(Record.Fingerprint.Value);
    Suspect->set_crashes(static_cast<std::uint32_t>(Record.Lost.size()));
    Suspect->set_remaining_ms(Record.Remaining.count());
    for (const upstream_id Upstream : Record.Lost)
      Suspect->add_upstreams(Upstream.Value);
  }
  return Request;
}

/// The hosts that \p Self sends to: all of its own zone, and the first few by
/// id of every other zone, so that all senders choose the same relays.
static std::vector<peer_host> selectRecipients(const host_view &View,
                                               const host_link::Sender &Self,
                                               bool OwnZoneOnly) {
  std::vector<peer_host> Sorted = View.Peers;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const peer_host &Left, const peer_host &Right) {
              return Left.Id < Right.Id;
            });
  std::map<zone_id, std::size_t> RecipientsByZone;
  std::vector<peer_host> Chosen;
  for (const peer_host &Peer : Sorted) {
    const bool IsSameZone = Peer.Zone.Value == Self.zone();
    if (IsSameZone ||
        (!OwnZoneOnly && RecipientsByZone[Peer.Zone]++ < RelaysPerZone))
      Chosen.push_back(Peer);
  }
  return Chosen;
}

/// Returns whether this host is one of its zone's relays, which hosts of other
/// zones send to.
static bool isRelay(const host_view &View, const host_link::Sender &Self) {
  const auto Before = std::count_if(
      View.Peers.begin(), View.Peers.end(), [&Self](const peer_host &Peer) {
        return Peer.Zone.Value == Self.zone() && Peer.Id.Value < Self.host();
      });
  return static_cast<std::size_t>(Before) < RelaysPerZone;
}

/// Sends to all peers concurrently and waits for their responses.
static void sendToPeers(const host_link_port &Port,
                        const std::vector<peer_host> &Peers,
                        const host_link::ShareSuspectsRequest &Request,
                        milliseconds Timeout) {
  std::vector<boost::fibers::future<void>> Answers;
  Answers.reserve(Peers.size());
  for (const peer_host &Peer : Peers)
    Answers.push_back(boost::fibers::async([&Port, &Peer, &Request, Timeout] {
      try {
        Port.ShareSuspects(Peer.Link, Request, Timeout);
      } catch (const spindle_error &) {
        // An unreachable peer gets the records from the platform.
      }
    }));
  for (boost::fibers::future<void> &Answer : Answers)
    Answer.wait();
}

/// Merges \p Records into the platform's object by compare-and-set. Merging is
/// idempotent, so a lost response needs no read-back.
static void writeToPlatform(const platform_port &Platform,
                            const std::vector<suspect_record> &Records,
                            const runtime_clock &Clock) {
  for (int Attempt = 0;; ++Attempt) {
    const std::optional<platform_object> Object =
        Platform.Get(platform_kind::Suspects, DocumentName);
    suspect_document Document;
    if (Object)
      Document = readDocument(Object->Body);
    if (!mergeIntoDocument(Document, Records, Clock.wallNow()))
      return;
    try {
      const std::string Body = writeDocument(Document);
      if (Object)
        Platform.Update(platform_kind::Suspects, DocumentName, Object->Version,
                        Body);
      else
        Platform.Create(platform_kind::Suspects, DocumentName, Body);
      return;
    } catch (const spindle_error &Error) {
      const bool HasConflict = Error.code() == result_code::PlatformConflict ||
                               Error.code() == result_code::PlatformNotFound;
      if (!HasConflict || Attempt + 1 == MaxUpdateAttempts)
        throw;
    }
  }
}

suspect_registry::suspect_registry(const runtime_clock &Clock, metrics *Metrics,
                                   suspect_registry_ports Ports)
    : State(std::make_unique<state>(Clock, Metrics, std::move(Ports))) {}

suspect_registry::~suspect_registry() = default;

void suspect_registry::applyConfiguration(
    const configuration_snapshot &Snapshot) {
  const lock Lock(State->Mutex);
  State->Suspects.Settings.QuarantineTime = Snapshot.policy().QuarantineTime;
}

void suspect_registry::applyView(std::shared_ptr<const host_view> View) {
  const lock Lock(State->Mutex);
  State->View = std::move(View);
}

void suspect_registry::check(request_fingerprint Fingerprint) {
  {
    const lock Lock(State->Mutex);
    if (!isQuarantined(State->Suspects, Fingerprint, State->Clock.now()))
      return;
  }
  if (State->Metrics != nullptr)
    State->Metrics->count("spindle_quarantine_refusals_total");
  throw spindle_error(
      result_code::RequestQuarantined,
      std::string(describe(result_code::RequestQuarantined).Meaning));
}

bool suspect_registry::isSuspect(request_fingerprint Fingerprint) const {
  const lock Lock(State->Mutex);
  return spindle::isSuspect(State->Suspects, Fingerprint, State->Clock.now());
}

bool suspect_registry::mayStartOn(upstream_id Upstream,
                                  request_fingerprint Fingerprint) const {
  const lock Lock(State->Mutex);
  return spindle::mayStartOn(State->Suspects, Upstream, Fingerprint,
                             State->Clock.now());
}

void suspect_registry::noteStart(upstream_id Upstream,
                                 request_fingerprint Fingerprint) {
  const lock Lock(State->Mutex);
  noteRunStarted(State->Suspects, Upstream, Fingerprint, State->Clock.now());
}

nanoseconds suspect_registry::noteEnd(upstream_id Upstream,
                                      request_fingerprint Fingerprint,
                                      run_end End) {
  bool IsQuarantined = false;
  nanoseconds Pause{0};
  {
    const lock Lock(State->Mutex);
    const time_point Now = State->Clock.now();
    Pause = noteRunEnded(State->Suspects, Upstream, Fingerprint, End, Now);
    if (End != run_end::Lost)
      return Pause;
    IsQuarantined = isQuarantined(State->Suspects, Fingerprint, Now);
  }
  const log_event Event = IsQuarantined ? log_event::RequestHeldBack
                                        : log_event::UpstreamLostUnderRequest;
  logEvent(Event, {{"upstream", toHex(Upstream.Value)},
                   {"fingerprint", toHex(Fingerprint.Value)}});
  return Pause;
}

void suspect_registry::shareOnce() {
  std::vector<suspect_record> Records;
  std::vector<suspect_record> Pending;
  std::shared_ptr<const host_view> View;
  {
    const lock Lock(State->Mutex);
    const time_point Now = State->Clock.now();
    expireSuspects(State->Suspects, Now);
    Records = takeUnshared(State->Suspects, Now);
    Pending = std::move(State->Pending);
    State->Pending.clear();
    View = State->View;
  }
  if (!Records.empty())
    sendToPeers(State->Ports.Peers,
                selectRecipients(*View, State->Ports.Self, false),
                writeRecords(State->Ports.Self, Records), 2 * ShareTimeout);
  Pending.insert(Pending.end(), Records.begin(), Records.end());
  if (Pending.empty())
    return;
  try {
    writeToPlatform(State->Ports.Platform, Pending, State->Clock);
  } catch (const spindle_error &) {
    const lock Lock(State->Mutex);
    State->Pending.insert(State->Pending.end(), Pending.begin(), Pending.end());
    if (State->Pending.size() > MaxPendingRecords)
      State->Pending.resize(MaxPendingRecords);
  }
}

void suspect_registry::pullOnce() {
  const std::optional<platform_object> Object =
      State->Ports.Platform.Get(platform_kind::Suspects, DocumentName);
  if (!Object)
    return;
  const std::vector<suspect_record> Records =
      recordsOf(readDocument(Object->Body), State->Clock.wallNow());
  const lock Lock(State->Mutex);
  mergeSuspects(State->Suspects, Records, State->Clock.now());
}

host_link::ShareSuspectsReply suspect_registry::handleShareSuspects(
    const host_link::ShareSuspectsRequest &Request) {
  std::shared_ptr<const host_view> View;
  bool IsNew = false;
  {
    const lock Lock(State->Mutex);
    IsNew = mergeSuspects(State->Suspects, readRecords(Request),
                          State->Clock.now());
    View = State->View;
  }
  // The message keeps its original sender. Only the zone's relays forward it,
  // and only once, because its records are not new when it arrives again.
  if (IsNew && Request.sender().zone() != State->Ports.Self.zone() &&
      isRelay(*View, State->Ports.Self))
    sendToPeers(State->Ports.Peers,
                selectRecipients(*View, State->Ports.Self, true), Request,
                ShareTimeout);
  return {};
}

std::size_t suspect_registry::size() const {
  const lock Lock(State->Mutex);
  return State->Suspects.Suspects.size();
}

} // namespace spindle
