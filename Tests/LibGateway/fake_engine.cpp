#include "LibGateway/fake_engine.h"

#include "LibCore/result_code.h"

namespace spindle {

static constexpr milliseconds ReportLag{60};

fake_engine::fake_engine(const runtime_clock &Clock, std::string Name,
                         std::size_t Capacity)
    : Clock(Clock), Name(std::move(Name)), Capacity(Capacity) {}

engine_order_port fake_engine::port() {
  engine_order_port Port;
  Port.Order = [this](const upstream_entry &, const adapter_order &Order,
                      milliseconds) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    applyDueEvents();
    if (Faults.Unresponsive)
      return order_outcome::Unknown;
    std::uniform_real_distribution<double> Draw(0, 1);
    if (Draw(Random) >= Faults.LostAnswerRatio)
      return apply(Order);
    if (Faults.LateApplyDelay.count() > 0)
      DelayedOrders.push_back({Order, Clock.now() + Faults.LateApplyDelay});
    else
      apply(Order);
    return order_outcome::Unknown;
  };
  Port.Report = [this](const upstream_entry &, milliseconds) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    applyDueEvents();
    if (Faults.Unresponsive)
      throw spindle_error(result_code::UpstreamTimeout, "no report");
    const time_point VisibleUntil = Clock.now() - ReportLag;
    while (Reports.size() > 1 && Reports[1].first <= VisibleUntil)
      Reports.pop_front();
    return Reports.empty() ? state() : Reports.front().second;
  };
  return Port;
}

upstream_entry fake_engine::entry() const {
  upstream_entry Entry;
  Entry.Name = Name;
  Entry.Id = upstream_id::ofName(Name);
  Entry.Service = "models";
  Entry.Zone = "a";
  Entry.Models = {"m"};
  Entry.StartedAt = 1;
  return Entry;
}

void fake_engine::setFaults(fake_engine_faults NewFaults) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Faults = NewFaults;
}

void fake_engine::refuseNext(int Orders) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  RemainingRefusals = Orders;
}

void fake_engine::setRunning(const adapter_name &Adapter, bool IsRunning) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (IsRunning)
    Running.insert(Adapter);
  else
    Running.erase(Adapter);
  applyDueEvents();
}

bool fake_engine::hasLoaded(const adapter_name &Adapter) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  applyDueEvents();
  return Loaded.contains(Adapter) && !Unloading.contains(Adapter);
}

bool fake_engine::hasExceededCapacity() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ExceededCapacity;
}

std::size_t fake_engine::refusals() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Refusals;
}

engine_state fake_engine::state() const {
  engine_state State;
  State.OrderCount = AcceptedOrders;
  State.StartedAt = 1;
  for (const auto &[Adapter, Version] : Loaded)
    State.Loaded.push_back({Adapter, Version});
  for (const auto &[Adapter, Load] : Loading)
    State.Loading.push_back({Adapter, Load.Version});
  return State;
}

/// Executes the delayed orders, loads and unloads that are due, and records the
/// resulting state.
void fake_engine::applyDueEvents() {
  const time_point Now = Clock.now();
  std::vector<delayed_order> Due;
  std::erase_if(DelayedOrders, [&](const delayed_order &Order) {
    if (Order.ApplyAt > Now)
      return false;
    Due.push_back(Order);
    return true;
  });
  for (const delayed_order &Order : Due)
    apply(Order.Order);
  for (auto Load = Loading.begin(); Load != Loading.end();) {
    if (Load->second.ReadyAt > Now) {
      ++Load;
      continue;
    }
    Loaded[Load->first] = Load->second.Version;
    Load = Loading.erase(Load);
  }
  std::erase_if(Unloading, [&](const adapter_name &Adapter) {
    if (Running.contains(Adapter))
      return false;
    Loaded.erase(Adapter);
    return true;
  });
  Reports.push_back({Now, state()});
}

order_outcome fake_engine::apply(const adapter_order &Order) {
  const adapter_name &Adapter = Order.Adapter.Name;
  if (Order.FencingToken < FencingToken)
    return order_outcome::Fenced;
  FencingToken = Order.FencingToken;
  const bool IsLoad = Order.Action == order_action::Load;
  // A repeat of an order in progress.
  if (IsLoad ? Loading.contains(Adapter) : Unloading.contains(Adapter))
    return order_outcome::Started;
  if (RemainingRefusals > 0) {
    --RemainingRefusals;
    ++Refusals;
    return order_outcome::OrderCountMismatch;
  }
  if (!Unloading.empty() ||
      (Order.ExpectedCount && *Order.ExpectedCount != AcceptedOrders)) {
    ++Refusals;
    return order_outcome::OrderCountMismatch;
  }
  if (IsLoad && Loaded.contains(Adapter) &&
      Loaded.at(Adapter) >= Order.Adapter.Version)
    return order_outcome::Done;
  if (!IsLoad && !Loaded.contains(Adapter))
    return order_outcome::Done;
  ++AcceptedOrders;
  if (IsLoad) {
    const bool IsReplacement = Loaded.contains(Adapter);
    ExceededCapacity =
        ExceededCapacity ||
        (!IsReplacement && Loaded.size() + Loading.size() >= Capacity);
    Loading[Adapter] = {Order.Adapter.Version, Clock.now() + Faults.LoadTime};
    return order_outcome::Started;
  }
  if (Running.contains(Adapter)) {
    Unloading.insert(Adapter);
    return order_outcome::Started;
  }
  Loaded.erase(Adapter);
  return order_outcome::Done;
}

} // namespace spindle
