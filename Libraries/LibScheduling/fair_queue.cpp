#include "LibScheduling/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace spindle {

static std::int64_t chargedTokens(tokens Cost) {
  return std::max<std::int64_t>(Cost.Count, 1);
}

/// Under Fifo all classes count as the first.
static std::size_t classIndex(const fair_queue &Queue,
                              const waiting_request &Request) {
  if (Queue.Settings.Policy == queueing_policy::Fifo)
    return 0;
  return static_cast<std::size_t>(Request.Priority);
}

/// Under Fifo all customers share one flow, whose id is empty.
static customer_id flowOf(const fair_queue &Queue, customer_id Customer) {
  return Queue.Settings.Policy == queueing_policy::Fair ? Customer
                                                        : customer_id{};
}

static double weightOf(const fair_queue &Queue, customer_id Flow) {
  const auto Found = Queue.Weights.find(Flow);
  if (Found == Queue.Weights.end())
    return 1;
  return std::max<std::uint32_t>(Found->second, 1);
}

static queue_flow &findFlow(fair_queue &Queue, customer_id Id) {
  queue_flow &Flow = Queue.Flows[Id];
  if (Flow.Count == 0)
    Flow.Weight = weightOf(Queue, Id);
  return Flow;
}

/// Sets a flow's virtual start time, which is also its key in Backlogged.
static void setVirtualStart(fair_queue &Queue, customer_id Id, queue_flow &Flow,
                            double VirtualStart) {
  if (Flow.Count > 0) {
    Queue.Backlogged.erase({Flow.VirtualStart, Id});
    Queue.Backlogged.insert({VirtualStart, Id});
  }
  Flow.VirtualStart = VirtualStart;
}

/// How many samples of the virtual time are kept for one CreditTime.
static constexpr int SamplesPerCreditTime = 16;

/// The virtual time of CreditTime ago. Updates the samples needed for it.
static double creditFloor(fair_queue &Queue, time_point Now) {
  std::deque<std::pair<time_point, double>> &Samples = Queue.VirtualTimeSamples;
  const nanoseconds Between = Queue.Settings.CreditTime / SamplesPerCreditTime;
  if (Between <= nanoseconds(0))
    return Queue.VirtualTime;
  if (Samples.empty() || Now - Samples.back().first >= Between)
    Samples.push_back({Now, Queue.VirtualTime});
  const time_point Oldest = Now - Queue.Settings.CreditTime;
  while (Samples.size() > 1 && Samples[1].first <= Oldest)
    Samples.pop_front();
  return Samples.front().second;
}

static void insertIntoFlow(fair_queue &Queue, const waiting_request &Request) {
  const customer_id Id = flowOf(Queue, Request.Customer);
  queue_flow &Flow = findFlow(Queue, Id);
  const std::size_t Class = classIndex(Queue, Request);
  Flow.Waiting[Class].insert({Request.Enqueued, Request.Sequence});
  Flow.WaitingTokens[Class] += chargedTokens(Request.Cost);
  if (++Flow.Count > 1)
    return;
  Queue.Backlogged.insert({Flow.VirtualStart, Id});
  Queue.BackloggedWeight += Flow.Weight;
}

static void eraseFromFlow(fair_queue &Queue, const waiting_request &Request) {
  const customer_id Id = flowOf(Queue, Request.Customer);
  queue_flow &Flow = Queue.Flows[Id];
  const std::size_t Class = classIndex(Queue, Request);
  Flow.Waiting[Class].erase({Request.Enqueued, Request.Sequence});
  Flow.WaitingTokens[Class] -= chargedTokens(Request.Cost);
  if (--Flow.Count > 0)
    return;
  Queue.Backlogged.erase({Flow.VirtualStart, Id});
  Queue.BackloggedWeight -= Flow.Weight;
}

/// Removes a request from every index.
static waiting_request eraseRequest(fair_queue &Queue, std::uint64_t Sequence) {
  const auto Found = Queue.Requests.find(Sequence);
  assert(Found != Queue.Requests.end());
  const waiting_request Request = Found->second;
  Queue.Requests.erase(Found);
  Queue.Deadlines.erase({Request.Deadline, Sequence});
  --Queue.WaitingOfCustomer[Request.Customer];
  eraseFromFlow(Queue, Request);
  if (Queue.Requests.empty())
    noteDrained(Queue.Meter);
  return Request;
}

void configureQueue(fair_queue &Queue, const queue_settings &Settings,
                    std::span<const customer_weight> Weights) {
  for (const auto &[Sequence, Request] : Queue.Requests)
    eraseFromFlow(Queue, Request);
  Queue.Settings = Settings;
  Queue.Weights.clear();
  for (const customer_weight &Weight : Weights)
    Queue.Weights[Weight.Customer] = Weight.Weight;
  for (const auto &[Sequence, Request] : Queue.Requests)
    insertIntoFlow(Queue, Request);
  // Drop the state of customers that are no longer declared.
  std::erase_if(Queue.Flows, [&Queue](const auto &Entry) {
    return Entry.second.Count == 0 && Queue.Weights.count(Entry.first) == 0;
  });
  std::erase_if(Queue.WaitingOfCustomer,
                [](const auto &Entry) { return Entry.second == 0; });
}

/// The tokens that the flow serves before \p Request. Requests of lower classes
/// that have aged past it are not counted, so that the estimate is a lower
/// bound and errs towards queueing.
static std::int64_t tokensAhead(const fair_queue &Queue, const queue_flow &Flow,
                                const waiting_request &Request) {
  std::int64_t Ahead = 0;
  for (std::size_t Class = 0; Class <= classIndex(Queue, Request); ++Class)
    Ahead += Flow.WaitingTokens[Class];
  return Ahead;
}

std::optional<nanoseconds> estimateWait(const fair_queue &Queue,
                                        const waiting_request &Request,
                                        time_point Now) {
  const std::optional<token_rate> Rate = serviceRate(Queue.Meter, Now);
  if (!Rate || Rate->PerSecond <= 0)
    return std::nullopt;
  const auto Found = Queue.Flows.find(flowOf(Queue, Request.Customer));
  if (Found == Queue.Flows.end() || Found->second.Count == 0)
    return nanoseconds(0);
  const queue_flow &Flow = Found->second;
  const double Share = Flow.Weight / std::max(Queue.BackloggedWeight, 1.0);
  const std::int64_t Ahead = tokensAhead(Queue, Flow, Request);
  const double Seconds = static_cast<double>(Ahead) / (Rate->PerSecond * Share);
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(std::min(Seconds, 1e6)));
}

std::optional<result_code> refusalOf(const fair_queue &Queue,
                                     const waiting_request &Request,
                                     time_point Now) {
  const auto Waiting = Queue.WaitingOfCustomer.find(Request.Customer);
  const std::uint32_t Count =
      Waiting == Queue.WaitingOfCustomer.end() ? 0 : Waiting->second;
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
  ++Queue.WaitingOfCustomer[Request.Customer];
  const customer_id Id = flowOf(Queue, Request.Customer);
  queue_flow &Flow = findFlow(Queue, Id);
  const double Floor = creditFloor(Queue, Request.Enqueued);
  if (Flow.Count == 0)
    Flow.VirtualStart = std::max(Flow.VirtualStart, Floor);
  insertIntoFlow(Queue, Request);
  return Request.Sequence;
}

/// Charges the flow for a request that starts at its virtual start time.
static void chargeFlow(fair_queue &Queue, customer_id Id, queue_flow &Flow,
                       tokens Cost) {
  Queue.VirtualTime = std::max(Queue.VirtualTime, Flow.VirtualStart);
  const double Served = static_cast<double>(chargedTokens(Cost)) / Flow.Weight;
  setVirtualStart(Queue, Id, Flow, Flow.VirtualStart + Served);
}

/// The first request of a class whose deadline has not passed, or null.
static const waiting_request *firstUnexpired(const fair_queue &Queue,
                                             const queue_flow &Flow,
                                             std::size_t Class,
                                             time_point Now) {
  for (const auto &[Arrival, Sequence] : Flow.Waiting[Class]) {
    const waiting_request &Request = Queue.Requests.at(Sequence);
    if (Request.Deadline > Now)
      return &Request;
  }
  return nullptr;
}

/// The request that the flow starts next; null if all deadlines have passed.
static const waiting_request *chooseInFlow(fair_queue &Queue, queue_flow &Flow,
                                           time_point Now) {
  const waiting_request *Highest = nullptr;
  const waiting_request *Oldest = nullptr;
  time_point OldestRank;
  for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
    const waiting_request *const First =
        firstUnexpired(Queue, Flow, Class, Now);
    if (First == nullptr)
      continue;
    const int Steps = static_cast<int>(Class);
    const time_point Rank = First->Enqueued + Steps * Queue.Settings.AgeingStep;
    if (Highest == nullptr)
      Highest = First;
    if (Oldest == nullptr || Rank < OldestRank) {
      Oldest = First;
      OldestRank = Rank;
    }
  }
  if (Highest == nullptr)
    return nullptr;
  const bool ServesAged = Oldest != Highest && Flow.AgedCredit >= 0;
  const waiting_request *const Chosen = ServesAged ? Oldest : Highest;
  const double Cost = static_cast<double>(chargedTokens(Chosen->Cost));
  const double Share = Queue.Settings.AgedShare;
  Flow.AgedCredit += ServesAged ? -Cost * (1 - Share) : Cost * Share;
  Flow.AgedCredit = std::min(Flow.AgedCredit, 0.0);
  return Chosen;
}

std::optional<waiting_request> popRequest(fair_queue &Queue, time_point Now) {
  for (const auto &[Start, Id] : Queue.Backlogged) {
    queue_flow &Flow = Queue.Flows[Id];
    const waiting_request *const Chosen = chooseInFlow(Queue, Flow, Now);
    if (Chosen == nullptr)
      continue;
    creditFloor(Queue, Now);
    noteStarted(Queue.Meter, {chargedTokens(Chosen->Cost)}, Now);
    const customer_id FlowId = Id;
    const waiting_request Request = eraseRequest(Queue, Chosen->Sequence);
    chargeFlow(Queue, FlowId, Flow, Request.Cost);
    return Request;
  }
  return std::nullopt;
}

std::optional<waiting_request> popExpired(fair_queue &Queue, time_point Now) {
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

void chargeStart(fair_queue &Queue, customer_id Customer, tokens Cost,
                 time_point Now) {
  const customer_id Id = flowOf(Queue, Customer);
  queue_flow &Flow = findFlow(Queue, Id);
  const double Floor = creditFloor(Queue, Now);
  if (Flow.Count == 0)
    Flow.VirtualStart = std::max(Flow.VirtualStart, Floor);
  chargeFlow(Queue, Id, Flow, Cost);
}

void settleCharge(fair_queue &Queue, customer_id Customer, tokens Charged,
                  tokens Actual) {
  const customer_id Id = flowOf(Queue, Customer);
  const auto Found = Queue.Flows.find(Id);
  if (Found == Queue.Flows.end())
    return;
  queue_flow &Flow = Found->second;
  const std::int64_t More = chargedTokens(Actual) - chargedTokens(Charged);
  const double Change = static_cast<double>(More) / Flow.Weight;
  setVirtualStart(Queue, Id, Flow, Flow.VirtualStart + Change);
}

std::size_t waitingCount(const fair_queue &Queue) {
  return Queue.Requests.size();
}

} // namespace spindle
