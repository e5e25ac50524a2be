#include "LibGateway/managed_engines.h"

namespace spindle {

managed_engine_pointer engineFor(managed_engines &Engines,
                                 const upstream_pointer &Entry,
                                 time_point Now) {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  managed_engine_pointer &Engine = Engines.ById[Entry->Id];
  if (Engine && Engine->Entry->StartedAt == Entry->StartedAt) {
    Engine->Slots.Capacity = Engines.Capacity(Entry->Service);
    return Engine;
  }
  Engine = std::make_shared<managed_engine>();
  Engine->Entry = Entry;
  Engine->Slots.Capacity = Engines.Capacity(Entry->Service);
  reconcile(Engine->Slots, Entry->Adapters, {}, Now);
  return Engine;
}

managed_engine_pointer findEngine(const managed_engines &Engines,
                                  upstream_id Id) {
  const auto Found = Engines.ById.find(Id);
  return Found == Engines.ById.end() ? nullptr : Found->second;
}

} // namespace spindle
