#include "LibGateway/engine_orders.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

namespace spindle {

static constexpr milliseconds OrderTimeout{250};
static constexpr milliseconds ReportTimeout{500};
// The maximum age of the state that an engine reports.
static constexpr milliseconds MaxReportLag{450};

engine_orders::engine_orders(const runtime_clock &Clock, fleet_table &Fleet,
                             const adapter_controller_ports &Ports,
                             managed_engines &Engines)
    : Clock(Clock), Fleet(Fleet), Ports(Ports), Engines(Engines) {}

/// Reads the engine's order count and adapters, after waiting until its reports
/// reflect the last order. Returns whether the engine answered. Precondition:
/// OrderMutex is held.
bool engine_orders::resync(managed_engine &Engine) {
  const nanoseconds Since = Clock.now() - Engine.LastAcceptedAt;
  if (Since < MaxReportLag)
    sleepFor(MaxReportLag - Since);
  try {
    const engine_state State =
        Ports.Orders.Report(*Engine.Entry, ReportTimeout);
    const std::lock_guard<std::mutex> Lock(Engines.Mutex);
    if (State.StartedAt != Engine.Entry->StartedAt)
      Engine.Restarted = true;
    Engine.OrderCount = State.OrderCount;
    Engine.OrderCountKnown = true;
    reconcile(Engine.Slots, State.Loaded, State.Loading, Clock.now());
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::EngineReportMissing,
             {{"upstream", Engine.Entry->Name}, {"reason", Error.what()}});
    markUnresponsive(Engine, Clock.now());
    return false;
  }
}

void engine_orders::startResync(const managed_engine_pointer &Engine) {
  if (Engine->ResyncPending.exchange(true))
    return;
  Ports.Spawn([this, Engine] {
    const std::lock_guard<boost::fibers::mutex> Lock(Engine->OrderMutex);
    if (!Engine->OrderCountKnown)
      resync(*Engine);
    Engine->ResyncPending.store(false);
  });
}

/// Returns whether the engine has more adapters, including pending loads, than
/// slots. This happens if it reports adapters that were unknown when the
/// pending loads were decided.
bool engine_orders::isOverCapacity(const managed_engine &Engine) const {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  if (Engine.Slots.Slots.size() <= Engine.Slots.Capacity)
    return false;
  logEvent(log_event::EngineOverfull,
           {{"upstream", Engine.Entry->Name},
            {"places", std::to_string(Engine.Slots.Slots.size())},
            {"capacity", std::to_string(Engine.Slots.Capacity)}});
  return true;
}

/// Waits until the engine has no pending unload, or until \p Until. \p Lock
/// holds OrderMutex and is released during the pauses.
void engine_orders::waitForUnload(managed_engine &Engine,
                                  std::unique_lock<boost::fibers::mutex> &Lock,
                                  time_point Until) const {
  while (Engine.UnloadPending && Clock.now() < Until) {
    Lock.unlock();
    sleepFor(OrderPollInterval);
    Lock.lock();
  }
}

/// Sends the order with the count of the orders before it. Precondition:
/// OrderMutex is held.
order_outcome engine_orders::sendCounted(managed_engine &Engine,
                                         order_action Action,
                                         const versioned_adapter &Adapter,
                                         std::uint64_t FencingToken) {
  adapter_order Order;
  Order.Action = Action;
  Order.Adapter = Adapter;
  Order.ExpectedCount = Engine.OrderCount;
  Order.Holder = Ports.Holder;
  Order.FencingToken = FencingToken;
  const order_outcome Outcome =
      Ports.Orders.Order(*Engine.Entry, Order, OrderTimeout);
  logEvent(log_event::OrderGiven,
           {{"upstream", Engine.Entry->Name},
            {"action", Action == order_action::Load ? "load" : "unload"},
            {"adapter", Adapter.Name.Model + "/" + Adapter.Name.Adapter},
            {"version", std::to_string(Adapter.Version)},
            {"count", std::to_string(Engine.OrderCount)},
            {"fence", std::to_string(FencingToken)},
            {"outcome", std::string(toText(Outcome))}});
  return Outcome;
}

order_outcome engine_orders::send(managed_engine &Engine, order_action Action,
                                  const versioned_adapter &Adapter,
                                  bool IsRepeat) {
  const time_point Until = Clock.now() + OrderCompletionTimeout;
  std::unique_lock<boost::fibers::mutex> Lock(Engine.OrderMutex);
  const bool IsUnloadRepeat = IsRepeat && Action == order_action::Unload;
  if (!IsUnloadRepeat)
    waitForUnload(Engine, Lock, Until);
  const std::optional<std::uint64_t> FencingToken =
      Ports.FencingToken(Engine.Entry->Zone);
  if (!FencingToken)
    return order_outcome::Fenced;
  if (!Engine.OrderCountKnown && !resync(Engine))
    return order_outcome::Unknown;
  // The recorded state belongs to the previous process of the engine.
  if (Engine.Restarted)
    return order_outcome::WrongUpstream;
  if (Action == order_action::Load && isOverCapacity(Engine))
    return order_outcome::Refused;
  const order_outcome Outcome =
      sendCounted(Engine, Action, Adapter, *FencingToken);
  if (applyOrderOutcome(Engine, Action, Outcome, IsRepeat, Clock.now()))
    Fleet.noteOutcome(Engine.Entry->Id, call_outcome::Failure);
  if (Outcome == order_outcome::Fenced)
    Ports.OnFenced(*FencingToken);
  return Outcome;
}

} // namespace spindle
