#ifndef PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H
#define PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_configuration.h"
#include "LibGateway/placed_engine.h"
#include "LibGateway/placement_plan.h"
#include "LibGateway/work_request.h"
#include "LibGateway/zone_work.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace spindle {

/// Chooses the engines of a zone for the requests of all hosts while this host
/// is the zone's leader. As all requests pass here, its records contain what
/// each engine has to do, without reports. They are kept in memory only; the
/// next leader begins with none. Thread-safe.
class work_placer {
public:
  /// Returns the capacity of the engines of a service; none if it has none.
  using capacity_port =
      std::function<std::optional<engine_capacity>(std::string_view Service)>;

  /// \p Clock, \p Fleet and \p Controller must outlive the placer.
  work_placer(const runtime_clock &Clock, fleet_table &Fleet,
              adapter_controller &Controller, std::string Zone,
              capacity_port Capacity);

  /// Chooses an engine of the zone and has it hold the adapter. Waits until
  /// \p Until for room or the adapter, but not past the time at which the
  /// request is of no use; returns none on timeout. Blocks the fiber.
  /// \throws spindle_error NoUpstream, NotOwner, or AdapterNotLoaded if no
  /// engine will serve the request in time to be of use.
  std::optional<placed_engine> place(const work_request &Request,
                                     time_point Until);
  /// The number of requests on the zone's engines, as far as they were placed
  /// by this host.
  std::size_t placedRequests() const;
  /// The number of requests that wait for an engine.
  std::size_t waitingRequests() const;

private:
  std::optional<placement_plan> plan(const work_request &Request);
  std::optional<placed_engine> carryOut(const work_request &Request,
                                        const placement_plan &Plan,
                                        time_point Until);
  std::optional<adapter_location> holdAdapter(const work_request &Request,
                                              const placement_plan &Plan,
                                              time_point Until);
  bool reserveAlternative(const work_request &Request,
                          const placement_plan &Plan, upstream_id Engine);
  void notePrompt(const work_request &Request, upstream_id Engine);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  adapter_controller &Controller;
  const std::string Zone;
  const capacity_port Capacity;
  zone_work Work;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H
