#include "LibGateway/zone_view.h"

#include "LibCore/result_code.h"

#include <algorithm>
#include <string>

namespace spindle {

static bool hasCopy(const adapter_outlook &Outlook) {
  return Outlook.Slots.Readiness == adapter_readiness::Ready ||
         Outlook.Slots.Readiness == adapter_readiness::Loading;
}

std::uint32_t countCopies(const zone_view &View) {
  return static_cast<std::uint32_t>(
      std::count_if(View.Outlooks.begin(), View.Outlooks.end(), hasCopy));
}

double sumUses(const zone_view &View) {
  double Uses = 0;
  for (const adapter_outlook &Outlook : View.Outlooks)
    Uses += Outlook.Slots.Uses;
  return Uses;
}

/// Makes engines without the adapter unavailable if others have it; called
/// while other adapters wait for slots. Load pattern: more adapters are asked
/// for than there are slots.
static void excludeNewCopies(zone_view &View) {
  if (countCopies(View) == 0)
    return;
  for (adapter_outlook &Outlook : View.Outlooks)
    if (!hasCopy(Outlook))
      Outlook.Slots.Readiness = adapter_readiness::Unavailable;
}

static void addOutlooks(zone_view &View, adapter_controller &Controller,
                        const work_request &Request) {
  std::vector<upstream_pointer> Entries;
  Entries.reserve(View.Engines.size());
  for (const placeable_engine &Engine : View.Engines)
    Entries.push_back(Engine.Entry);
  const adapter_name Adapter{Request.Description.Model,
                             Request.Description.Adapter};
  View.Outlooks =
      Controller.outlooks(Entries, {Adapter, Request.AdapterVersion});
  if (Controller.othersWaitForSlots(Request.Service, Adapter))
    excludeNewCopies(View);
}

zone_view viewZone(fleet_table &Fleet, adapter_controller &Controller,
                   std::string_view Zone,
                   const std::optional<engine_capacity> &Size,
                   const work_request &Request) {
  upstream_query Query;
  Query.Service = Request.Service;
  Query.Model = &Request.Description;
  Query.Avoid = Request.Avoid;
  zone_view View;
  View.Engines = Fleet.placeable(Query, Zone);
  if (View.Engines.empty() || !Size)
    throw spindle_error(result_code::NoUpstream,
                        "no engine of the zone may be sent the request");
  View.Size = *Size;
  if (!Request.Description.Adapter.empty())
    addOutlooks(View, Controller, Request);
  return View;
}

} // namespace spindle
