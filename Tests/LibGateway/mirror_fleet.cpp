#include "LibGateway/mirror_fleet.h"

#include "LibCore/result_code.h"

#include <algorithm>
#include <string>

#include <boost/fiber/operations.hpp>

namespace spindle {

static constexpr milliseconds Step{10};
static constexpr milliseconds ExchangeInterval{250};
static constexpr milliseconds LeaderExpiry{1'200};
// How much longer than its limit a call takes that gets no response.
static constexpr milliseconds ResponseMargin{700};
// Connections that were idle for less are used again.
static constexpr milliseconds MaxIdle{1'000};

mirror_fleet::mirror_fleet(std::size_t Zones, std::size_t HostsPerZone,
                           mirror_settings Settings) {
  Clock.pause();
  Changes.push_back({1, Clock.now()});
  for (std::size_t Zone = 0; Zone < Zones; ++Zone) {
    const std::size_t Leader = Hosts.size();
    for (std::size_t Host = 0; Host < HostsPerZone; ++Host)
      addHost(Leader, Settings);
  }
}

mirror_fleet::~mirror_fleet() {
  Stopping = true;
  for (const std::unique_ptr<host> &Host : Hosts)
    Host->Polls.join();
}

platform_object mirror_fleet::currentObject() const {
  return {"config", "main", revision(), std::to_string(revision())};
}

void mirror_fleet::addHost(std::size_t Leader, mirror_settings Settings) {
  host &Host = *Hosts.emplace_back(std::make_unique<host>());
  Host.Leader = Leader;
  Host.NextExchange = Clock.now() + Step * Hosts.size();
  Host.Port.List = [this, &Host](std::string_view) {
    awaitResponse(Host, 0, {});
    return platform_list{{currentObject()}, revision()};
  };
  Host.Port.Changes = [this, &Host](std::string_view,
                                    std::uint64_t FromRevision,
                                    milliseconds Limit) {
    awaitResponse(Host, FromRevision, Limit);
    platform_changes Batch;
    Batch.Version = revision();
    if (revision() > FromRevision)
      Batch.Events.push_back({platform_change::Modified, currentObject()});
    return Batch;
  };
  Host.Mirror =
      std::make_unique<object_mirror>(Clock, Host.Port, "config", Settings);
  Host.Mirror->setRelayPredicate([this, &Host] {
    return &Host != Hosts[Host.Leader].get() &&
           Clock.now() - Host.LeaderRepliedAt < LeaderExpiry;
  });
  Host.Polls = boost::fibers::fiber([this, &Host] { repeatPolls(Host); });
}

void mirror_fleet::repeatPolls(host &Host) {
  while (!Stopping) {
    const time_point Next = Clock.now() + Host.Mirror->poll();
    do
      boost::this_fiber::yield();
    while (!Stopping && (Clock.now() < Next || Host.Paused));
  }
}

void mirror_fleet::awaitResponse(const host &Host, std::uint64_t FromRevision,
                                 milliseconds Limit) {
  const time_point Start = Clock.now();
  bool IsLost = Start - SilencedAt < MaxIdle;
  while (!Stopping) {
    if (!Host.Paused) {
      IsLost = IsLost || SilencedAt >= Start ||
               Host.Access == platform_access::Unanswered;
      const bool Refused = Host.Access == platform_access::Refused;
      if (Refused || Clock.now() >= Start + Limit + ResponseMargin)
        throw spindle_error(result_code::PlatformUnavailable, "no response");
      if (!IsLost &&
          (revision() > FromRevision || Clock.now() >= Start + Limit))
        return;
    }
    boost::this_fiber::yield();
  }
}

void mirror_fleet::exchangeBetween(std::size_t From, std::size_t To) {
  host &Sender = *Hosts[From];
  host &Receiver = *Hosts[To];
  if (Receiver.Paused)
    return;
  host_link::MirroredKind Request;
  Sender.Mirror->writeSmallChangesSince(Receiver.Mirror->cursor(), Request);
  Receiver.Mirror->merge(Request);
  host_link::MirroredKind Reply;
  Receiver.Mirror->writeSmallChangesSince(Sender.Mirror->cursor(), Reply);
  Sender.Mirror->merge(Reply);
  if (To == Sender.Leader)
    Sender.LeaderRepliedAt = Clock.now();
}

void mirror_fleet::exchange(std::size_t Index) {
  host &Host = *Hosts[Index];
  if (Host.Paused || Clock.now() < Host.NextExchange)
    return;
  Host.NextExchange = Clock.now() + ExchangeInterval;
  if (Host.Leader != Index) {
    exchangeBetween(Index, Host.Leader);
    return;
  }
  for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
    if (Other != Index && Hosts[Other]->Leader == Other)
      exchangeBetween(Index, Other);
}

void mirror_fleet::run(milliseconds Time) {
  const time_point Until = Clock.now() + Time;
  while (Clock.now() < Until) {
    Clock.advance(Step);
    for (const std::unique_ptr<host> &Host : Hosts)
      if (Host->Paused || Host->Access != platform_access::Served)
        Host->DisturbedAt = Clock.now();
    // One turn ends a poll, the next one begins the one after it.
    boost::this_fiber::yield();
    boost::this_fiber::yield();
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      exchange(Index);
  }
}

void mirror_fleet::change() {
  Changes.push_back({revision() + 1, Clock.now()});
}

void mirror_fleet::silenceConnections() { SilencedAt = Clock.now(); }

void mirror_fleet::setAccess(std::size_t Host, platform_access Access) {
  Hosts[Host]->Access = Access;
}

void mirror_fleet::setPaused(std::size_t Host, bool Paused) {
  Hosts[Host]->Paused = Paused;
}

bool mirror_fleet::isUndisturbed(std::size_t Host, milliseconds Window) const {
  const time_point Since = Clock.now() - Window;
  return SilencedAt < Since && Hosts[Host]->DisturbedAt < Since;
}

bool mirror_fleet::isCurrent(std::size_t Host, milliseconds Delay) const {
  const time_point Since = Clock.now() - Delay;
  const auto Newest =
      std::find_if(Changes.rbegin(), Changes.rend(),
                   [Since](const auto &Change) { return Change.At <= Since; });
  return Newest == Changes.rend() ||
         Hosts[Host]->Mirror->cursor() >= Newest->Revision;
}

bool mirror_fleet::takesCopyForCurrent(std::size_t Host) const {
  return !Hosts[Host]->Paused && Hosts[Host]->Mirror->isConfirmed();
}

} // namespace spindle
