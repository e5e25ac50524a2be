#include "LibHost/configuration_follower.h"

#include "LibConfiguration/configuration_codec.h"
#include "LibConfiguration/configuration_head.h"
#include "LibCore/result_code.h"
#include "LibHost/gossip_peers.h"
#include "LibHost/part_fetcher.h"
#include "LibHost/snapshot_builder.h"
#include "LibLog/log.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

static constexpr std::string_view HeadName = "head";
/// The most peers that a part is requested from after the platform.
static constexpr std::size_t MaxPeersPerPart = 3;
/// Polls per second of the whole fleet: a twentieth of the platform's read
/// rate.
static constexpr std::size_t FleetPollsPerSecond = 100;
/// Earlier than any time that a decision compares it with.
static constexpr time_point Never{-std::chrono::hours(100'000)};
/// How long a host relays a confirmation by the platform.
static constexpr seconds MaxConfirmationAge{5};

namespace {

/// A configuration head, and the peer that may have its parts; nullopt if the
/// head was read from the platform or its sender is unknown.
struct found_head {
  configuration_head Head;
  std::string Text;
  std::optional<endpoint> From;
};

} // namespace

struct configuration_follower::state {
  state(const runtime_clock &Clock, platform_port Platform,
        host_link_port HostLink, host_link::Sender Self,
        configuration_follower_settings Settings)
      : Clock(Clock), Platform(std::move(Platform)),
        HostLink(std::move(HostLink)), Self(std::move(Self)),
        Settings(std::move(Settings)), Fetcher{this->Platform, this->HostLink,
                                               this->Self,
                                               this->Settings.PeerCallTimeout},
        Peers(this->Self, this->Settings.Seeds) {}

  std::uint64_t version() const {
    const lock Lock(Mutex);
    return Current == nullptr ? 0 : Current->version();
  }

  void applyIfNewer(const found_head &Found);
  std::map<std::string, std::string> fetchParts(const found_head &Found);
  std::string fetchPart(const std::string &Digest,
                        const std::optional<endpoint> &From);
  std::string findCached(const std::string &Digest) const;
  void activate(const found_head &Found, snapshot_pointer Snapshot,
                std::map<std::string, std::string> Fetched);
  void notifyListeners();
  void confirm(std::uint64_t Version, time_point At);
  std::uint64_t readPlatformHead();
  void exchangeVersions(const endpoint &Peer);
  void fetchHeadFrom(const endpoint &Peer);
  std::vector<endpoint> pickGossipPeers();

  const runtime_clock &Clock;
  const platform_port Platform;
  const host_link_port HostLink;
  const host_link::Sender Self;
  const configuration_follower_settings Settings;
  const part_fetcher Fetcher;
  gossip_peers Peers;
  /// Set before the first poll and not modified after it.
  std::vector<listener> Listeners;

  mutable std::mutex Mutex;
  snapshot_pointer Current;
  std::string HeadText;
  std::map<std::string, std::string> Parts;
  /// The version that a fiber is currently fetching; 0 if none.
  std::uint64_t Fetching = 0;
  time_point LastConfirmed = Never;
  /// When the platform itself last confirmed the active version.
  time_point ConfirmedByPlatform = Never;
  std::deque<snapshot_pointer> Notifications;
  bool Notifying = false;
};

configuration_follower::configuration_follower(
    const runtime_clock &Clock, platform_port Platform, host_link_port HostLink,
    host_link::Sender Self, configuration_follower_settings Settings)
    : State(std::make_unique<state>(Clock, std::move(Platform),
                                    std::move(HostLink), std::move(Self),
                                    std::move(Settings))) {}

configuration_follower::~configuration_follower() = default;

snapshot_pointer configuration_follower::current() const {
  const lock Lock(State->Mutex);
  return State->Current;
}

void configuration_follower::onChange(listener Listener) {
  State->Listeners.push_back(std::move(Listener));
}

void configuration_follower::applyView(const host_view &View) {
  State->Peers.applyView(View);
}

time_point configuration_follower::lastConfirmed() const {
  const lock Lock(State->Mutex);
  return State->LastConfirmed;
}

std::map<std::string, std::string>
configuration_follower::state::fetchParts(const found_head &Found) {
  std::map<std::string, std::string> Fetched;
  const std::string Index = fetchPart(Found.Head.Index, Found.From);
  Fetched.emplace(Found.Head.Index, Index);
  for (const std::string &Digest : readIndex(Index))
    Fetched.emplace(Digest, fetchPart(Digest, Found.From));
  return Fetched;
}

/// Applies \p Found unless the active version, or one that another fiber is
/// fetching, is at least as new.
void configuration_follower::state::applyIfNewer(const found_head &Found) {
  {
    const lock Lock(Mutex);
    const std::uint64_t ActiveVersion =
        Current == nullptr ? 0 : Current->version();
    if (Found.Head.Version <= std::max(ActiveVersion, Fetching))
      return;
    Fetching = Found.Head.Version;
  }
  try {
    std::map<std::string, std::string> Fetched = fetchParts(Found);
    snapshot_pointer Snapshot =
        buildOnThread(Found.Head.Version, Found.Head.Index, Fetched);
    activate(Found, std::move(Snapshot), std::move(Fetched));
  } catch (const spindle_error &Error) {
    const bool IsDamaged = Error.code() == result_code::ConfigurationCorrupt;
    logEvent(IsDamaged ? log_event::ConfigurationRefused
                       : log_event::ConfigurationNotFetched,
             {{"version", std::to_string(Found.Head.Version)},
              {"reason", Error.what()}});
  }
  {
    const lock Lock(Mutex);
    if (Fetching == Found.Head.Version)
      Fetching = 0;
  }
  notifyListeners();
}

void configuration_follower::state::activate(
    const found_head &Found, snapshot_pointer Snapshot,
    std::map<std::string, std::string> Fetched) {
  const lock Lock(Mutex);
  // A newer version may have become active while this one was fetched.
  if (Current != nullptr && Current->version() >= Snapshot->version())
    return;
  Current = Snapshot;
  HeadText = Found.Text;
  Parts = std::move(Fetched);
  Notifications.push_back(std::move(Snapshot));
}

/// Calls one listener. A listener that throws must not prevent later
/// notifications.
static void notify(const configuration_follower::listener &Listener,
                   const snapshot_pointer &Snapshot) {
  try {
    Listener(Snapshot);
  } catch (const std::exception &Error) {
    logEvent(log_event::UnexpectedFailure, {{"reason", Error.what()}});
  }
}

/// Notifies the listeners of each version in order, from one fiber at a time.
void configuration_follower::state::notifyListeners() {
  while (true) {
    snapshot_pointer Next;
    {
      const lock Lock(Mutex);
      if (Notifying || Notifications.empty())
        return;
      Notifying = true;
      Next = std::move(Notifications.front());
      Notifications.pop_front();
    }
    logEvent(log_event::ConfigurationApplied,
             {{"version", std::to_string(Next->version())}});
    for (const listener &Listener : Listeners)
      notify(Listener, Next);
    const lock Lock(Mutex);
    Notifying = false;
  }
}

std::string
configuration_follower::state::findCached(const std::string &Digest) const {
  const lock Lock(Mutex);
  const auto Found = Parts.find(Digest);
  return Found == Parts.end() ? std::string() : Found->second;
}

/// Gets a part from the cache, else from the peer that announced it, else from
/// the platform, else from other peers.
std::string
configuration_follower::state::fetchPart(const std::string &Digest,
                                         const std::optional<endpoint> &From) {
  std::string Cached = findCached(Digest);
  if (!Cached.empty())
    return Cached;
  std::optional<std::string> Text;
  if (From)
    Text = Fetcher.fetchFromPeer(Digest, *From);
  if (!Text)
    Text = Fetcher.fetchFromPlatform(Digest);
  const std::vector<endpoint> Others = Peers.endpoints(true);
  for (std::size_t Index = 0;
       !Text && Index < std::min(Others.size(), MaxPeersPerPart); ++Index)
    Text = Fetcher.fetchFromPeer(Digest, Others[Index]);
  if (!Text)
    throw spindle_error(result_code::PlatformUnavailable,
                        "part " + Digest + " could not be fetched");
  return *Text;
}

void configuration_follower::state::confirm(std::uint64_t Version,
                                            time_point At) {
  const lock Lock(Mutex);
  if (Current != nullptr && Current->version() == Version)
    LastConfirmed = std::max(LastConfirmed, At);
}

/// Reads the configuration head from the platform and applies it; returns the
/// object's version at the platform, or 0 if there is none.
std::uint64_t configuration_follower::state::readPlatformHead() {
  const time_point RequestedAt = Clock.now();
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ConfigurationHeads, HeadName);
  if (!Object)
    return 0;
  const configuration_head Head = readHead(Object->Body);
  applyIfNewer({Head, Object->Body, std::nullopt});
  confirm(Head.Version, RequestedAt);
  const lock Lock(Mutex);
  if (Current != nullptr && Current->version() == Head.Version)
    ConfirmedByPlatform = std::max(ConfirmedByPlatform, RequestedAt);
  return Object->Version;
}

void configuration_follower::pollOnce() {
  try {
    State->readPlatformHead();
    return;
  } catch (const spindle_error &Error) {
    logEvent(log_event::ConfigurationNotFetched, {{"reason", Error.what()}});
  }
  for (const endpoint &Peer : State->pickGossipPeers())
    State->exchangeVersions(Peer);
}

milliseconds configuration_follower::pollInterval() const {
  const milliseconds FleetInterval(State->Peers.fleetHosts() * 1'000 /
                                   FleetPollsPerSecond);
  const milliseconds Base =
      std::max(State->Settings.PollInterval, FleetInterval);
  return Base * (90 + State->Peers.roundScore() % 20) / 100;
}

bool configuration_follower::watchOnce(milliseconds Limit) {
  try {
    const std::uint64_t From = State->readPlatformHead();
    State->Platform.Watch(
        platform_kind::ConfigurationHeads, From, Limit,
        [this](const platform_event &Event) {
          if (Event.Change == platform_change::Deleted ||
              Event.Object.Name != HeadName)
            return true;
          const time_point ReceivedAt = State->Clock.now();
          const configuration_head Head = readHead(Event.Object.Body);
          State->applyIfNewer({Head, Event.Object.Body, std::nullopt});
          State->confirm(Head.Version, ReceivedAt);
          return isRelay();
        });
    return true;
  } catch (const spindle_error &Error) {
    return Error.code() == result_code::PlatformTooOld;
  }
}

bool configuration_follower::isRelay() const { return State->Peers.isRelay(); }

/// The peers of the next gossip round.
std::vector<endpoint> configuration_follower::state::pickGossipPeers() {
  return Peers.pickForGossip(version());
}

/// Announces the active version to a peer, sends the head as well if the peer's
/// version is older, and fetches the peer's head if it is newer.
void configuration_follower::state::exchangeVersions(const endpoint &Peer) {
  try {
    host_link::AnnounceRequest Request;
    *Request.mutable_sender() = Self;
    const time_point RequestedAt = Clock.now();
    Request.set_version(version());
    const host_link::AnnounceReply Reply =
        HostLink.Announce(Peer, Request, Settings.PeerCallTimeout);
    if (Reply.platform_reachable())
      confirm(Reply.version(), RequestedAt - MaxConfirmationAge);
    if (Reply.version() > Request.version())
      fetchHeadFrom(Peer);
    if (Reply.version() >= Request.version())
      return;
    {
      const lock Lock(Mutex);
      Request.set_version(Current->version());
      Request.set_head(HeadText);
    }
    HostLink.Announce(Peer, Request, Settings.PeerCallTimeout);
  } catch (const spindle_error &) {
    // A peer that does not answer is called again in a later round.
  }
}

void configuration_follower::state::fetchHeadFrom(const endpoint &Peer) {
  host_link::FetchPartRequest Request;
  *Request.mutable_sender() = Self;
  const host_link::FetchPartReply Reply =
      HostLink.FetchPart(Peer, Request, Settings.PeerCallTimeout);
  if (Reply.found())
    applyIfNewer({readHead(Reply.content()), Reply.content(), Peer});
}

void configuration_follower::gossipOnce() {
  for (const endpoint &Peer : State->pickGossipPeers())
    State->exchangeVersions(Peer);
}

host_link::AnnounceReply configuration_follower::handleAnnounce(
    const host_link::AnnounceRequest &Request) {
  const std::optional<endpoint> From =
      State->Peers.findLink(host_id{Request.sender().host()});
  if (!Request.head().empty())
    State->applyIfNewer({readHead(Request.head()), Request.head(), From});
  host_link::AnnounceReply Reply;
  const time_point Now = State->Clock.now();
  const lock Lock(State->Mutex);
  if (State->Current != nullptr)
    Reply.set_version(State->Current->version());
  Reply.set_incarnation(State->Self.incarnation());
  Reply.set_platform_reachable(Now - State->ConfirmedByPlatform <
                               MaxConfirmationAge);
  return Reply;
}

host_link::FetchPartReply configuration_follower::handleFetchPart(
    const host_link::FetchPartRequest &Request) {
  host_link::FetchPartReply Reply;
  const lock Lock(State->Mutex);
  if (State->Current == nullptr)
    return Reply;
  Reply.set_version(State->Current->version());
  if (Request.digest().empty()) {
    Reply.set_found(true);
    Reply.set_content(State->HeadText);
    return Reply;
  }
  const auto Found = State->Parts.find(Request.digest());
  if (Found != State->Parts.end()) {
    Reply.set_found(true);
    Reply.set_content(Found->second);
  }
  return Reply;
}

} // namespace spindle
