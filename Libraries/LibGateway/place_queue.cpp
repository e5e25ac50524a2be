#include "LibGateway/place_queue.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace spindle {

// The pace of grants is taken over so long.
static constexpr seconds PaceWindow{2};
// Fewer grants than this tell no pace.
static constexpr std::size_t LeastGrants = 3;
// What an answer that comes late is worth, in parts of one in time.
static constexpr double LateWorth = 0.3;

using wishes = std::map<std::uint64_t, place_wish>;

namespace {

/// How an adapter stands among those that wait; the smaller goes first.
struct standing {
  bool Late = true;
  int Urgency = std::numeric_limits<int>::max();
  /// The worth of the answers that wait, negative.
  double Worth = 0;
  time_point OnTimeUntil = time_point::max();

  auto key() const { return std::tie(Late, Urgency, Worth, OnTimeUntil); }
};

void add(standing &Standing, const place_wish &Wish, time_point Now) {
  const bool Late = Wish.OnTimeUntil < Now;
  if (!Late && Standing.Late)
    Standing = {false, Wish.Urgency, Standing.Worth, Wish.OnTimeUntil};
  Standing.Worth -= Late ? LateWorth : 1;
  if (Late != Standing.Late)
    return;
  Standing.Urgency = std::min(Standing.Urgency, Wish.Urgency);
  Standing.OnTimeUntil = std::min(Standing.OnTimeUntil, Wish.OnTimeUntil);
}

bool wants(const place_wish &Wish, upstream_id Engine) {
  return std::find(Wish.Engines.begin(), Wish.Engines.end(), Engine) !=
         Wish.Engines.end();
}

standing standingOf(const wishes &Wishes, time_point Now) {
  standing Standing;
  for (const auto &[Ticket, Wish] : Wishes)
    add(Standing, Wish, Now);
  return Standing;
}

bool anyWants(const wishes &Wishes, upstream_id Engine) {
  return std::any_of(Wishes.begin(), Wishes.end(), [Engine](const auto &Entry) {
    return wants(Entry.second, Engine);
  });
}

} // namespace

std::uint64_t enterQueue(place_queue &Queue, const adapter_name &Adapter,
                         const place_wish &Wish) {
  const std::uint64_t Ticket = ++Queue.LastTicket;
  Queue.Waiting[Adapter].emplace(Ticket, Wish);
  return Ticket;
}

void leaveQueue(place_queue &Queue, const adapter_name &Adapter,
                std::uint64_t Ticket) {
  const auto Found = Queue.Waiting.find(Adapter);
  if (Found == Queue.Waiting.end())
    return;
  Found->second.erase(Ticket);
  if (Found->second.empty())
    Queue.Waiting.erase(Found);
}

bool goesFirst(const place_queue &Queue, const adapter_name &Adapter,
               upstream_id Engine, time_point Now) {
  const auto Own = Queue.Waiting.find(Adapter);
  const standing Standing =
      Own == Queue.Waiting.end() ? standing{} : standingOf(Own->second, Now);
  return std::none_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter && anyWants(Entry.second, Engine) &&
               standingOf(Entry.second, Now).key() < Standing.key();
      });
}

void noteGrant(place_queue &Queue, time_point Now) {
  Queue.Grants.push_back(Now);
  while (Queue.Grants.front() < Now - PaceWindow)
    Queue.Grants.pop_front();
}

std::optional<nanoseconds> expectedWait(const place_queue &Queue,
                                        const adapter_name &Adapter,
                                        const place_wish &Wish,
                                        time_point Now) {
  const auto Lately =
      std::count_if(Queue.Grants.begin(), Queue.Grants.end(),
                    [Now](time_point At) { return At >= Now - PaceWindow; });
  if (static_cast<std::size_t>(Lately) < LeastGrants)
    return std::nullopt;
  standing Standing;
  const auto Own = Queue.Waiting.find(Adapter);
  if (Own != Queue.Waiting.end())
    Standing = standingOf(Own->second, Now);
  add(Standing, Wish, Now);
  const auto Ahead = std::count_if(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Adapter &&
               standingOf(Entry.second, Now).key() < Standing.key();
      });
  return nanoseconds(PaceWindow) * (Ahead + 1) / Lately;
}

} // namespace spindle
