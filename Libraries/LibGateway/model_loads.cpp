#include "LibGateway/model_loads.h"

#include "LibRuntime/fiber_runtime.h"

namespace spindle {

static constexpr milliseconds ModelPollInterval{300};
static constexpr milliseconds ModelLoadTimeout{15'000};
// An engine's registration shows a change within this time.
static constexpr milliseconds MaxRegistrationLag{2'000};

model_loads::model_loads(const runtime_clock &Clock, fleet_table &Fleet,
                         const adapter_controller_ports &Ports,
                         managed_engines &Engines, engine_orders &Orders)
    : Clock(Clock), Fleet(Fleet), Ports(Ports), Engines(Engines),
      Orders(Orders) {}

void model_loads::startAll() {
  for (const upstream_pointer &Entry : Fleet.all()) {
    if (Entry->Draining || !Entry->Models.empty() ||
        !Ports.FencingToken(Entry->Zone))
      continue;
    const std::string Model = Ports.ModelForEmptyEngine(Entry->Service);
    if (Model.empty())
      continue;
    const managed_engine_pointer Engine =
        engineFor(Engines, Entry, Clock.now());
    if (Engine->ModelLoadPending || isUnresponsive(*Engine, Clock.now()) ||
        !Ports.TryAcquireModelLoad())
      continue;
    Engine->ModelLoadPending = true;
    Ports.Spawn([this, Engine, Model] { run(*Engine, Model); });
  }
}

/// Whether the engine has a model now, has restarted or has left.
bool model_loads::isOver(const managed_engine &Engine) const {
  const upstream_pointer Entry = Fleet.find(Engine.Entry->Id);
  return !Entry || !Entry->Models.empty() ||
         Entry->StartedAt != Engine.Entry->StartedAt;
}

/// Loads a base model on an engine without one. The engine accepts no other
/// order until the load ends, and then lists the model in its registration.
void model_loads::run(managed_engine &Engine, const std::string &Model) {
  const versioned_adapter Wanted{{Model, ""}, 0};
  const time_point Start = Clock.now();
  bool Started = false;
  while (Clock.now() - Start < ModelLoadTimeout) {
    const order_outcome Outcome =
        Orders.send(Engine, order_action::Load, Wanted, Started);
    Started = Started || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done || Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream)
      break;
    sleepFor(ModelPollInterval);
    if (isOver(Engine))
      break;
  }
  sleepFor(MaxRegistrationLag);
  Engine.ModelLoadPending = false;
}

} // namespace spindle
