#include "LibHost/dispatch_queue.h"

#include "LibCore/result_code.h"
#include "LibRuntime/completion.h"

#include <algorithm>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace spindle {

/// How a wait in the queue ended.
enum class wait_result { Started, Expired };

using wait_deliverer = std::function<void(wait_result)>;
using lock = std::lock_guard<std::mutex>;

/// A waiting fiber to resume once the lock is released.
struct wake_up {
  wait_deliverer Deliver;
  wait_result Result;
};

struct queue_ticket::shared_state {
  shared_state(const runtime_clock &UsedClock, metrics *UsedMetrics,
               const dispatch_queue_settings &Settings)
      : Clock(UsedClock), Metrics(UsedMetrics), Capacity(Settings.Capacity) {
    Queue.Settings = Settings.Queue;
  }

  const runtime_clock &Clock;
  metrics *const Metrics;
  mutable std::mutex Mutex;
  // The members below are guarded by Mutex.
  fair_queue Queue;
  concurrency_window Window;
  std::uint32_t Capacity;
  std::uint32_t Running = 0;
  std::unordered_map<std::uint64_t, wait_deliverer> Waiters;

  wait_deliverer removeWaiter(std::uint64_t Sequence);
  void dispatch(std::vector<wake_up> &WakeUps);
  void count(std::string_view Name, result_code Code) const;
};

wait_deliverer
queue_ticket::shared_state::removeWaiter(std::uint64_t Sequence) {
  const auto Found = Waiters.find(Sequence);
  wait_deliverer Deliver = std::move(Found->second);
  Waiters.erase(Found);
  return Deliver;
}

/// Refuses requests past their deadline and starts as many others as the
/// capacity allows. Precondition: Mutex is held; the caller wakes the fibers
/// after releasing it.
void queue_ticket::shared_state::dispatch(std::vector<wake_up> &WakeUps) {
  const time_point Now = Clock.now();
  while (const std::optional<waiting_request> Late = popExpired(Queue, Now))
    WakeUps.push_back({removeWaiter(Late->Sequence), wait_result::Expired});
  while (Running < Capacity) {
    const std::optional<waiting_request> Next = popRequest(Queue, Now);
    if (!Next)
      return;
    ++Running;
    WakeUps.push_back({removeWaiter(Next->Sequence), wait_result::Started});
  }
}

void queue_ticket::shared_state::count(std::string_view Name,
                                       result_code Code) const {
  if (Metrics != nullptr)
    Metrics->count(Name, {{"code", std::string(describe(Code).Name)}});
}

static void wakeAll(const std::vector<wake_up> &WakeUps) {
  for (const wake_up &WakeUp : WakeUps)
    WakeUp.Deliver(WakeUp.Result);
}

queue_ticket::~queue_ticket() { release(); }

queue_ticket::queue_ticket(queue_ticket &&Other) noexcept
    : Queue(std::move(Other.Queue)), Customer(Other.Customer),
      Charged(Other.Charged), Waited(Other.Waited) {}

queue_ticket &queue_ticket::operator=(queue_ticket &&Other) noexcept {
  if (this == &Other)
    return *this;
  release();
  Queue = std::move(Other.Queue);
  Customer = Other.Customer;
  Charged = Other.Charged;
  Waited = Other.Waited;
  return *this;
}

void queue_ticket::settle(tokens Actual) {
  if (!Queue)
    return;
  const lock Lock(Queue->Mutex);
  settleCharge(Queue->Queue, Customer, Charged, Actual);
}

void queue_ticket::release() noexcept {
  if (!Queue)
    return;
  const std::shared_ptr<shared_state> Shared = std::move(Queue);
  std::vector<wake_up> WakeUps;
  {
    const lock Lock(Shared->Mutex);
    --Shared->Running;
    Shared->dispatch(WakeUps);
  }
  wakeAll(WakeUps);
}

dispatch_queue::dispatch_queue(const runtime_clock &Clock, metrics *Metrics,
                               dispatch_queue_settings Settings)
    : State(std::make_shared<queue_ticket::shared_state>(Clock, Metrics,
                                                         Settings)) {}

dispatch_queue::~dispatch_queue() = default;

void dispatch_queue::applyConfiguration(
    const configuration_snapshot &Snapshot) {
  std::vector<customer_weight> Weights;
  for (const customer_declaration &Customer : Snapshot.customers())
    Weights.push_back({customer_id::ofName(Customer.Name), Customer.Weight});
  const lock Lock(State->Mutex);
  queue_settings Settings = queueSettingsOf(Snapshot.policy());
  Settings.RefuseEarly = State->Queue.Settings.RefuseEarly;
  configureQueue(State->Queue, Settings, Weights);
}

void dispatch_queue::setCapacity(std::uint32_t Concurrent) {
  std::vector<wake_up> WakeUps;
  {
    const lock Lock(State->Mutex);
    State->Capacity = std::max<std::uint32_t>(Concurrent, 1);
    State->dispatch(WakeUps);
  }
  wakeAll(WakeUps);
}

void dispatch_queue::noteEngineLoad(const engine_load_summary &Load,
                                    std::uint32_t FleetHosts) {
  std::vector<wake_up> WakeUps;
  {
    const lock Lock(State->Mutex);
    const bool Backlogged = waitingCount(State->Queue) > 0;
    updateWindow(State->Window, Load, std::max<std::uint32_t>(FleetHosts, 1),
                 Backlogged, State->Clock.now());
    State->Capacity = windowSize(State->Window);
    State->dispatch(WakeUps);
  }
  wakeAll(WakeUps);
}

time_point dispatch_queue::deadlineFor(priority_class Priority) const {
  const lock Lock(State->Mutex);
  return queueDeadline(State->Queue.Settings, Priority, State->Clock.now());
}

queue_ticket dispatch_queue::enter(customer_id Customer,
                                   priority_class Priority, tokens Cost,
                                   time_point Deadline) {
  const time_point Enqueued = State->Clock.now();
  waiting_request Request{0, Customer, Priority, Cost, Enqueued, Deadline};
  queue_ticket Ticket;
  Ticket.Customer = Customer;
  Ticket.Charged = Cost;
  completion<wait_result> Turn;
  std::uint64_t Sequence = 0;
  {
    const lock Lock(State->Mutex);
    if (State->Running < State->Capacity && waitingCount(State->Queue) == 0) {
      chargeStart(State->Queue, Customer, Cost, Enqueued);
      ++State->Running;
      Ticket.Queue = State;
      return Ticket;
    }
    if (const std::optional<result_code> Refusal =
            refusalOf(State->Queue, Request, Enqueued)) {
      State->count("spindle_queue_refusals_total", *Refusal);
      throw spindle_error(*Refusal, std::string(describe(*Refusal).Meaning));
    }
    Sequence = pushRequest(State->Queue, Request);
    State->Waiters[Sequence] = Turn.deliverer();
  }
  while (!Turn.waitFor(Deadline - State->Clock.now()))
    refuseExpired();
  if (Turn.wait() == wait_result::Expired) {
    State->count("spindle_queue_refusals_total",
                 result_code::DeadlineUnreachable);
    throw spindle_error(result_code::DeadlineUnreachable,
                        "the request did not start before its deadline");
  }
  Ticket.Queue = State;
  Ticket.Waited = State->Clock.now() - Enqueued;
  if (State->Metrics != nullptr)
    State->Metrics->observeSeconds(
        "spindle_queue_wait_seconds", {},
        std::chrono::duration<double>(Ticket.Waited).count());
  return Ticket;
}

void dispatch_queue::refuseExpired() {
  std::vector<wake_up> WakeUps;
  {
    const lock Lock(State->Mutex);
    State->dispatch(WakeUps);
  }
  wakeAll(WakeUps);
}

std::size_t dispatch_queue::waiting() const {
  const lock Lock(State->Mutex);
  return waitingCount(State->Queue);
}

std::uint32_t dispatch_queue::running() const {
  const lock Lock(State->Mutex);
  return State->Running;
}

std::uint32_t dispatch_queue::capacity() const {
  const lock Lock(State->Mutex);
  return State->Capacity;
}

} // namespace spindle
