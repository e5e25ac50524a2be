#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_VIEW_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_VIEW_H

#include "LibGateway/adapter_controller.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_configuration.h"
#include "LibGateway/work_request.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace spindle {

/// The engines of the zone that a request may use, and what it takes to serve
/// its adapter on each; no outlooks if it names none.
struct zone_view {
  std::vector<placeable_engine> Engines;
  std::vector<adapter_outlook> Outlooks;
  engine_capacity Size;
};

/// Returns the view of a zone for a request. Thread-safe.
/// \param Size the capacity of the engines of the request's service, if it has
/// one.
/// \throws spindle_error NoUpstream if no engine may be sent the request.
zone_view viewZone(fleet_table &Fleet, adapter_controller &Controller,
                   std::string_view Zone,
                   const std::optional<engine_capacity> &Size,
                   const work_request &Request);
/// The number of engines that have the adapter or load it.
std::uint32_t countCopies(const zone_view &View);
/// How often the adapter is asked for on all engines, as a decayed number of
/// uses.
double sumUses(const zone_view &View);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_VIEW_H
