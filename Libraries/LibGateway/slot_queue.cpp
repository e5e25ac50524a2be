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
  bool Late = true;
  int Urgency = std::numeric_limits<int>::max();
  /// Negated total value of the waiting answers, so that more sorts first.
  double Worth = 0;
  time_point OnTimeUntil = time_point::max();

  auto key() const { return std::tie(Late, Urgency, Worth, OnTimeUntil); }
};

void addRequest(queue_priority &Priority, const slot_request &Request,
                time_point Now) {
  const bool Late = Request.OnTimeUntil < Now;
  if (!Late && Priority.Late)
    Priority = {false, Request.Urgency, Priority.Worth, Request.OnTimeUntil};
  Priority.Worth -= Late ? LateWorth : 1;
  if (Late != Priority.Late)
    return;
  Priority.Urgency = std::min(Priority.Urgency, Request.Urgency);
  Priority.OnTimeUntil = std::min(Priority.OnTimeUntil, Request.OnTimeUntil);
}

bool accepts(const slot_request &Request, upstream_id Engine) {
  return std::find(Request.Engines.begin(), Request.Engines.end(), Engine) !=
         Request.Engines.end();
}

queue_priority priorityOf(const waiting_requests &Requests, time_point Now) {
  queue_priority Priority;
  for (const auto &[Ticket, Request] : Requests)
    addRequest(Priority, Request, Now);
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
                                      : priorityOf(Own->second, Now);
  return std::none_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter && anyAccepts(Entry.second, Engine) &&
               priorityOf(Entry.second, Now).key() < Priority.key();
      });
}

void noteGrant(slot_queue &Queue, time_point Now) {
  Queue.Grants.push_back(Now);
  while (Queue.Grants.front() < Now - GrantRateWindow)
    Queue.Grants.pop_front();
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
    Priority = priorityOf(Own->second, Now);
  addRequest(Priority, Request, Now);
  const auto Ahead = std::count_if(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter &&
               priorityOf(Entry.second, Now).key() < Priority.key();
      });
  return nanoseconds(GrantRateWindow) * (Ahead + 1) / RecentGrants;
}

} // namespace spindle
