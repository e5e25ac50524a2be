#include "LibHost/residency_agent_state.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

std::string residency_agent::state::nameOf(adapter_id Adapter) {
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    const auto Known = Names.find(Adapter);
    if (Known != Names.end())
      return Known->second;
  }
  const snapshot_pointer Current = configuration();
  const std::optional<adapter_view> Declared =
      Current ? Current->findAdapter(Adapter) : std::nullopt;
  if (!Declared)
    return {};
  return std::string(Declared->Name) + "@" + std::string(Declared->Version);
}

void residency_agent::state::resolveWaiting() {
  std::vector<pin_resolution> Resolved;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    for (const auto &[Id, Engine] : Owner.Engines) {
      const std::vector<pin_resolution> Pinned =
          resolveLoaded(Owner, Id, Clock.now());
      Resolved.insert(Resolved.end(), Pinned.begin(), Pinned.end());
    }
  }
  notifyWaiters(Resolved);
}

void residency_agent::state::runLoads() {
  resolveWaiting();
  updateFences();
  const std::vector<pin_holder> Holders = holders(*view());
  while (startOneLoad(Holders)) {
  }
}

void residency_agent::state::updateFences() {
  std::vector<residency_order> Orders;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Orders = planFenceUpdates(Owner, Clock.now());
  }
  for (const residency_order &Order : Orders)
    Ports.Spawn([State = shared_from_this(), Order] {
      const order_result Result =
          State->sendEngineOrder(Order, Order.Adapter, /*IsLoad=*/true);
      {
        const std::lock_guard<std::mutex> Lock(State->OwnerMutex);
        endFenceUpdate(State->Owner, Order, Result);
      }
      State->resolveWaiting();
    });
}

bool residency_agent::state::startOneLoad(
    const std::vector<pin_holder> &Holders) {
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    if (!isLoadDue(Owner, Holders, Clock.now())) {
      planOrders(Owner, Holders, 0, Clock.now());
      return false;
    }
  }
  if (!Ports.Budget.TryReserve(Clock.now()))
    return false;
  std::vector<residency_order> Orders;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Orders = planOrders(Owner, Holders, 1, Clock.now());
  }
  if (Orders.empty()) {
    Ports.Budget.Settle();
    return false;
  }
  Ports.Spawn([State = shared_from_this(), Order = Orders.front()] {
    State->runOrder(Order);
    State->Ports.Budget.Settle();
    State->runLoads();
  });
  return true;
}

/// Derives the outcome of an order from the error that it ended with.
static order_result resultOfError(const spindle_error &Error) {
  switch (Error.code()) {
  case result_code::AdapterLoadFailed:
  case result_code::UpstreamUnreachable:
  case result_code::NoUpstream:
  case result_code::NotOwner:
    return order_result::Refused;
  default:
    return order_result::ResponseLost;
  }
}

milliseconds
residency_agent::state::orderTimeout(const residency_order &Order) {
  const std::lock_guard<std::mutex> Lock(OwnerMutex);
  const time_point Now = Clock.now();
  // The order must end before another host may own the engine.
  const milliseconds Left =
      std::chrono::duration_cast<milliseconds>(Owner.ValidUntil - Now);
  if (!maySendOrders(Owner, Order.Engine, Order.Fence, Now) ||
      Left.count() <= 0)
    throw spindle_error(result_code::NotOwner,
                        "this host's ownership of the engine has expired");
  return std::min(Settings.OrderTimeout, Left);
}

order_result
residency_agent::state::sendEngineOrder(const residency_order &Order,
                                        adapter_id Adapter, bool IsLoad) {
  const std::string Name = nameOf(Adapter);
  try {
    const endpoint Address = addressOf(Order.Engine);
    const milliseconds Limit = orderTimeout(Order);
    const auto &Send = IsLoad ? Ports.Engines.Load : Ports.Engines.Unload;
    Send(Address, Name, Order.Fence, Limit);
  } catch (const spindle_error &Error) {
    logEvent(log_event::AdapterOrderFailed,
             {{"adapter", Name},
              {"order", IsLoad ? "load" : "unload"},
              {"reason", Error.what()}});
    return resultOfError(Error);
  }
  logEvent(IsLoad ? log_event::AdapterLoaded : log_event::AdapterEvicted,
           {{"adapter", Name}, {"engine", std::to_string(Order.Engine.Value)}});
  return order_result::Done;
}

bool residency_agent::state::unloadVictim(const residency_order &Order) {
  Engines.noteLoadResult(Order.Engine, *Order.Victim, false);
  const order_result Result = sendEngineOrder(Order, *Order.Victim, false);
  count("spindle_adapter_unloads_total",
        {{"result", Result == order_result::Done ? "done" : "failed"}});
  const std::lock_guard<std::mutex> Lock(OwnerMutex);
  return endVictimUnload(Owner, Order, Result, Clock.now());
}

void residency_agent::state::runOrder(const residency_order &Order) {
  if (Order.Victim && !unloadVictim(Order))
    return;
  const time_point StartedAt = Clock.now();
  const order_result Result = sendEngineOrder(Order, Order.Adapter, true);
  count("spindle_adapter_loads_total",
        {{"result", Result == order_result::Done ? "done" : "failed"}});
  if (Metrics != nullptr)
    Metrics->observeSeconds(
        "spindle_adapter_load_seconds", {},
        std::chrono::duration<double>(Clock.now() - StartedAt).count());
  std::vector<pin_resolution> Resolved;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Resolved = endOrder(Owner, Order, Result, Clock.now());
  }
  Engines.noteLoadResult(Order.Engine, Order.Adapter,
                         Result == order_result::Done);
  notifyWaiters(Resolved);
}

} // namespace spindle
