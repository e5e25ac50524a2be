#include "LibGateway/slot_queue.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace spindle {

// The grant rate is measured over this window.
static constexpr seconds GrantRateWindow{2};
// With fewer grants in the window the rate is unknown.
static constexpr std::size_t MinGrants = 3;
// Value of a late answer relative to one that meets its latency objective.
static constexpr double LateWorth = 0.3;

using waiting_requests = std::map<std::uint64_t, slot_request>;

namespace {

/// The priority of a waiting adapter; the smallest key goes first.
struct queue_priority {
  /// The best rank of the customers that wait; the same for all unless the
  /// queue shares grants.
  share_rank Share = {true, std::numeric_limits<int>::max()};
  bool Late = true;
  int Urgency = std::numeric_limits<int>::max();
  /// Negated total value of the waiting answers, so that more sorts first.
  double Worth = 0;
  time_point OnTimeUntil = time_point::max();

  auto key() const {
    return std::tuple_cat(Share.key(),
                          std::tie(Late, Urgency, Worth, OnTimeUntil));
  }
};

share_claim claimOf(const slot_request &Request) {
  return {Request.Urgency, Request.Customer};
}

share_rank shareOf(const slot_queue &Queue, const slot_request &Request) {
  return Queue.SharesGrants ? rankOf(Queue.Shares, claimOf(Request))
                            : share_rank{};
}

void addRequest(const slot_queue &Queue, queue_priority &Priority,
                const slot_request &Request, time_point Now) {
  const bool Late = Request.OnTimeUntil < Now;
  const share_rank Share = shareOf(Queue, Request);
  const bool IsFirst =
      std::tuple_cat(Share.key(), std::tie(Late)) <
      std::tuple_cat(Priority.Share.key(), std::tie(Priority.Late));
  if (IsFirst)
    Priority = {Share, Late, Request.Urgency, Priority.Worth,
                Request.OnTimeUntil};
  Priority.Worth -= Late ? LateWorth : 1;
  if (Late != Priority.Late || Share.key() != Priority.Share.key())
    return;
  Priority.Urgency = std::min(Priority.Urgency, Request.Urgency);
  Priority.OnTimeUntil = std::min(Priority.OnTimeUntil, Request.OnTimeUntil);
}

bool accepts(const slot_request &Request, upstream_id Engine) {
  return std::find(Request.Engines.begin(), Request.Engines.end(), Engine) !=
         Request.Engines.end();
}

queue_priority priorityOf(const slot_queue &Queue,
                          const waiting_requests &Requests, time_point Now) {
  queue_priority Priority;
  for (const auto &[Ticket, Request] : Requests)
    addRequest(Queue, Priority, Request, Now);
  return Priority;
}

bool anyAccepts(const waiting_requests &Requests, upstream_id Engine) {
  return std::any_of(
      Requests.begin(), Requests.end(),
      [Engine](const auto &Entry) { return accepts(Entry.second, Engine); });
}

} // namespace

std::uint64_t enterQueue(slot_queue &Queue, const adapter_name &Adapter,
                         const slot_request &Request) {
  const std::uint64_t Ticket = ++Queue.LastTicket;
  Queue.Waiting[Adapter].emplace(Ticket, Request);
  return Ticket;
}

void leaveQueue(slot_queue &Queue, const adapter_name &Adapter,
                std::uint64_t Ticket) {
  const auto Found = Queue.Waiting.find(Adapter);
  if (Found == Queue.Waiting.end())
    return;
  Found->second.erase(Ticket);
  if (Found->second.empty())
    Queue.Waiting.erase(Found);
}

bool hasPriority(const slot_queue &Queue, const adapter_name &Adapter,
                 upstream_id Engine, time_point Now) {
  const auto Own = Queue.Waiting.find(Adapter);
  const queue_priority Priority = Own == Queue.Waiting.end()
                                      ? queue_priority{}
                                      : priorityOf(Queue, Own->second, Now);
  return std::none_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter && anyAccepts(Entry.second, Engine) &&
               priorityOf(Queue, Entry.second, Now).key() < Priority.key();
      });
}

void noteGrant(slot_queue &Queue, time_point Now) {
  Queue.Grants.push_back(Now);
  while (Queue.Grants.front() < Now - GrantRateWindow)
    Queue.Grants.pop_front();
}

/// The requests that compete for the engine's slots.
struct slot_competition {
  std::set<share_claim> Claims;
  /// Whether an adapter other than the one that is granted has requests that
  /// can still meet their objective.
  bool OthersOnTime = false;
};

static slot_competition competitionFor(const slot_queue &Queue,
                                       const adapter_name &Granted,
                                       upstream_id Engine, time_point Now) {
  slot_competition Competition;
  for (const auto &[Adapter, Requests] : Queue.Waiting)
    for (const auto &[Ticket, Request] : Requests) {
      if (!accepts(Request, Engine))
        continue;
      Competition.Claims.insert(claimOf(Request));
      Competition.OthersOnTime =
          Competition.OthersOnTime ||
          (Adapter != Granted && Request.OnTimeUntil >= Now);
    }
  return Competition;
}

void noteGrant(slot_queue &Queue, const adapter_name &Adapter,
               upstream_id Engine, time_point Now) {
  noteGrant(Queue, Now);
  const auto Found = Queue.Waiting.find(Adapter);
  if (!Queue.SharesGrants || Found == Queue.Waiting.end())
    return;
  const slot_competition Competition =
      competitionFor(Queue, Adapter, Engine, Now);
  bool IsLate = true;
  std::vector<share_claim> Served;
  Served.reserve(Found->second.size());
  for (const auto &[Ticket, Request] : Found->second) {
    Served.push_back(claimOf(Request));
    IsLate = IsLate && Request.OnTimeUntil < Now;
  }
  const std::uint32_t Passes =
      IsLate && Competition.OthersOnTime ? UrgentGrantsPerTurn : 1;
  noteGrant(Queue.Shares, Served, Competition.Claims, Passes);
}

/// The adapters that get a slot before a customer's own requests and all
/// others' are served in their order.
static double adaptersAhead(const slot_queue &Queue,
                            const adapter_name &Adapter,
                            const queue_priority &Priority, time_point Now) {
  return static_cast<double>(std::count_if(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter &&
               priorityOf(Queue, Entry.second, Now).key() < Priority.key();
      }));
}

/// The same with shares: the customer's adapters that go before, and what
/// others get meanwhile.
static double adaptersAheadByShare(const slot_queue &Queue,
                                   const adapter_name &Adapter,
                                   const slot_request &Request,
                                   const queue_priority &Priority,
                                   time_point Now) {
  const share_claim Own = claimOf(Request);
  double OwnAhead = 0;
  std::map<share_claim, double> Others;
  for (const auto &[Name, Requests] : Queue.Waiting) {
    if (Name == Adapter)
      continue;
    const slot_request &First = Requests.begin()->second;
    if (claimOf(First) != Own)
      Others[claimOf(First)] += 1;
    else if (priorityOf(Queue, Requests, Now).key() < Priority.key())
      OwnAhead += 1;
  }
  return OwnAhead + grantsAhead(Queue.Shares, Own, OwnAhead + 1, Others);
}

std::optional<nanoseconds> expectedWait(const slot_queue &Queue,
                                        const adapter_name &Adapter,
                                        const slot_request &Request,
                                        time_point Now) {
  const auto RecentGrants = std::count_if(
      Queue.Grants.begin(), Queue.Grants.end(),
      [Now](time_point At) { return At >= Now - GrantRateWindow; });
  if (static_cast<std::size_t>(RecentGrants) < MinGrants)
    return std::nullopt;
  queue_priority Priority;
  const auto Own = Queue.Waiting.find(Adapter);
  if (Own != Queue.Waiting.end())
    Priority = priorityOf(Queue, Own->second, Now);
  addRequest(Queue, Priority, Request, Now);
  const double Ahead =
      Queue.SharesGrants
          ? adaptersAheadByShare(Queue, Adapter, Request, Priority, Now)
          : adaptersAhead(Queue, Adapter, Priority, Now);
  const std::chrono::duration<double> Window = GrantRateWindow;
  return std::chrono::duration_cast<nanoseconds>(
      Window * (Ahead + 1) / static_cast<double>(RecentGrants));
}

} // namespace spindle
