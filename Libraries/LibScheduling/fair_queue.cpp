#include "LibScheduling/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace spindle {

static std::int64_t chargedTokens(tokens Cost) {
  return std::max<std::int64_t>(Cost.Count, 1);
}

static std::size_t classIndex(const waiting_request &Request) {
  return static_cast<std::size_t>(Request.Priority);
}

/// Under Fifo all tenants share the lane of no tenant.
static tenant_id laneOf(const fair_queue &Queue, tenant_id Tenant) {
  return Queue.Settings.Policy == queueing_policy::Fair ? Tenant : tenant_id{};
}

static time_point rankOf(const fair_queue &Queue,
                         const waiting_request &Request) {
  if (Queue.Settings.Policy == queueing_policy::Fifo)
    return Request.Enqueued;
  const int Classes = static_cast<int>(Request.Priority);
  return Request.Enqueued + Classes * Queue.Settings.AgeingStep;
}

static double weightOf(const fair_queue &Queue, tenant_id Lane) {
  const auto Found = Queue.Weights.find(Lane);
  if (Found == Queue.Weights.end())
    return 1;
  return std::max<std::uint32_t>(Found->second, 1);
}

static queue_lane &findLane(fair_queue &Queue, tenant_id Id) {
  queue_lane &Lane = Queue.Lanes[Id];
  if (Lane.Waiting.empty())
    Lane.Weight = weightOf(Queue, Id);
  return Lane;
}

/// Moves a lane's virtual start, which also is its key among the backlogged.
static void moveStart(fair_queue &Queue, tenant_id Id, queue_lane &Lane,
                      double NextStart) {
  if (!Lane.Waiting.empty()) {
    Queue.Backlogged.erase({Lane.NextStart, Id});
    Queue.Backlogged.insert({NextStart, Id});
  }
  Lane.NextStart = NextStart;
}

static void insertIntoLane(fair_queue &Queue, const waiting_request &Request) {
  const tenant_id Id = laneOf(Queue, Request.Tenant);
  queue_lane &Lane = findLane(Queue, Id);
  if (Lane.Waiting.empty()) {
    Lane.NextStart = std::max(Lane.NextStart, Queue.VirtualTime);
    Queue.Backlogged.insert({Lane.NextStart, Id});
    Queue.BackloggedWeight += Lane.Weight;
  }
  Lane.Waiting.insert({rankOf(Queue, Request), Request.Sequence});
  Lane.WaitingTokens[classIndex(Request)] += chargedTokens(Request.Cost);
}

static void eraseFromLane(fair_queue &Queue, const waiting_request &Request) {
  const tenant_id Id = laneOf(Queue, Request.Tenant);
  queue_lane &Lane = Queue.Lanes[Id];
  Lane.Waiting.erase({rankOf(Queue, Request), Request.Sequence});
  Lane.WaitingTokens[classIndex(Request)] -= chargedTokens(Request.Cost);
  if (!Lane.Waiting.empty())
    return;
  Queue.Backlogged.erase({Lane.NextStart, Id});
  Queue.BackloggedWeight -= Lane.Weight;
}

/// Takes a request out of every index.
static waiting_request eraseRequest(fair_queue &Queue, std::uint64_t Sequence) {
  const auto Found = Queue.Requests.find(Sequence);
  assert(Found != Queue.Requests.end());
  const waiting_request Request = Found->second;
  Queue.Requests.erase(Found);
  Queue.Deadlines.erase({Request.Deadline, Sequence});
  --Queue.WaitingOfTenant[Request.Tenant];
  eraseFromLane(Queue, Request);
  if (Queue.Requests.empty())
    noteDrained(Queue.Meter);
  return Request;
}

void configureQueue(fair_queue &Queue, const queue_settings &Settings,
                    std::span<const tenant_weight> Weights) {
  for (const auto &[Sequence, Request] : Queue.Requests)
    eraseFromLane(Queue, Request);
  Queue.Settings = Settings;
  Queue.Weights.clear();
  for (const tenant_weight &Weight : Weights)
    Queue.Weights[Weight.Tenant] = Weight.Weight;
  for (const auto &[Sequence, Request] : Queue.Requests)
    insertIntoLane(Queue, Request);
  // Tenants that are no longer declared leave nothing behind.
  std::erase_if(Queue.Lanes, [&Queue](const auto &Entry) {
    return Entry.second.Waiting.empty() &&
           Queue.Weights.count(Entry.first) == 0;
  });
  std::erase_if(Queue.WaitingOfTenant,
                [](const auto &Entry) { return Entry.second == 0; });
}

/// The tokens that the lane serves before \p Request. Lower classes that have
/// aged past it are left out, so that the estimate errs towards queueing.
static std::int64_t tokensAhead(const fair_queue &Queue, const queue_lane &Lane,
                                const waiting_request &Request) {
  const bool Fair = Queue.Settings.Policy == queueing_policy::Fair;
  const std::size_t Last = Fair ? classIndex(Request) : PriorityClassCount - 1;
  std::int64_t Ahead = 0;
  for (std::size_t Class = 0; Class <= Last; ++Class)
    Ahead += Lane.WaitingTokens[Class];
  return Ahead;
}

std::optional<nanoseconds> estimateWait(const fair_queue &Queue,
                                        const waiting_request &Request,
                                        time_point Now) {
  const std::optional<token_rate> Rate = serviceRate(Queue.Meter, Now);
  if (!Rate || Rate->PerSecond <= 0)
    return std::nullopt;
  const auto Found = Queue.Lanes.find(laneOf(Queue, Request.Tenant));
  if (Found == Queue.Lanes.end() || Found->second.Waiting.empty())
    return nanoseconds(0);
  const queue_lane &Lane = Found->second;
  const double Share = Lane.Weight / std::max(Queue.BackloggedWeight, 1.0);
  const std::int64_t Ahead = tokensAhead(Queue, Lane, Request);
  const double Seconds = static_cast<double>(Ahead) / (Rate->PerSecond * Share);
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(std::min(Seconds, 1e6)));
}

std::optional<result_code> refusalOf(const fair_queue &Queue,
                                     const waiting_request &Request,
                                     time_point Now) {
  const auto Waiting = Queue.WaitingOfTenant.find(Request.Tenant);
  const std::uint32_t Count =
      Waiting == Queue.WaitingOfTenant.end() ? 0 : Waiting->second;
  if (Count >= Queue.Settings.QueueLimit)
    return result_code::QueueFull;
  if (Request.Deadline <= Now)
    return result_code::DeadlineUnreachable;
  if (!Queue.Settings.RefuseEarly)
    return std::nullopt;
  const std::optional<nanoseconds> Wait = estimateWait(Queue, Request, Now);
  if (Wait && Now + *Wait > Request.Deadline)
    return result_code::DeadlineUnreachable;
  return std::nullopt;
}

std::uint64_t pushRequest(fair_queue &Queue, waiting_request Request) {
  Request.Sequence = ++Queue.LastSequence;
  noteBacklogged(Queue.Meter, Request.Enqueued);
  Queue.Requests.insert({Request.Sequence, Request});
  Queue.Deadlines.insert({Request.Deadline, Request.Sequence});
  ++Queue.WaitingOfTenant[Request.Tenant];
  insertIntoLane(Queue, Request);
  return Request.Sequence;
}

/// Charges the lane for a start at its virtual start time.
static void chargeLane(fair_queue &Queue, tenant_id Id, queue_lane &Lane,
                       tokens Cost) {
  Queue.VirtualTime = std::max(Queue.VirtualTime, Lane.NextStart);
  const double Served = static_cast<double>(chargedTokens(Cost)) / Lane.Weight;
  moveStart(Queue, Id, Lane, Lane.NextStart + Served);
}

/// The first request of the lane whose deadline has not passed; 0 if none.
static std::uint64_t firstInTime(const fair_queue &Queue,
                                 const queue_lane &Lane, time_point Now) {
  for (const auto &[Rank, Sequence] : Lane.Waiting)
    if (Queue.Requests.at(Sequence).Deadline > Now)
      return Sequence;
  return 0;
}

std::optional<waiting_request> popRequest(fair_queue &Queue, time_point Now) {
  for (const auto &[Start, Id] : Queue.Backlogged) {
    queue_lane &Lane = Queue.Lanes[Id];
    const std::uint64_t Sequence = firstInTime(Queue, Lane, Now);
    if (Sequence == 0)
      continue;
    const tokens Cost = Queue.Requests.at(Sequence).Cost;
    noteStarted(Queue.Meter, {chargedTokens(Cost)}, Now);
    const tenant_id LaneId = Id;
    const waiting_request Request = eraseRequest(Queue, Sequence);
    chargeLane(Queue, LaneId, Lane, Cost);
    return Request;
  }
  return std::nullopt;
}

std::optional<waiting_request> takeExpired(fair_queue &Queue, time_point Now) {
  if (Queue.Deadlines.empty() || Queue.Deadlines.begin()->first > Now)
    return std::nullopt;
  return eraseRequest(Queue, Queue.Deadlines.begin()->second);
}

bool cancelRequest(fair_queue &Queue, std::uint64_t Sequence) {
  if (Queue.Requests.count(Sequence) == 0)
    return false;
  eraseRequest(Queue, Sequence);
  return true;
}

void chargeStart(fair_queue &Queue, tenant_id Tenant, tokens Cost) {
  const tenant_id Id = laneOf(Queue, Tenant);
  queue_lane &Lane = findLane(Queue, Id);
  if (Lane.Waiting.empty())
    Lane.NextStart = std::max(Lane.NextStart, Queue.VirtualTime);
  chargeLane(Queue, Id, Lane, Cost);
}

void settleCharge(fair_queue &Queue, tenant_id Tenant, tokens Charged,
                  tokens Actual) {
  const tenant_id Id = laneOf(Queue, Tenant);
  const auto Found = Queue.Lanes.find(Id);
  if (Found == Queue.Lanes.end())
    return;
  queue_lane &Lane = Found->second;
  const std::int64_t More = chargedTokens(Actual) - chargedTokens(Charged);
  const double Change = static_cast<double>(More) / Lane.Weight;
  moveStart(Queue, Id, Lane, Lane.NextStart + Change);
}

std::size_t waitingCount(const fair_queue &Queue) {
  return Queue.Requests.size();
}

} // namespace spindle
