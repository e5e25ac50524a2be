#ifndef PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H
#define PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_configuration.h"
#include "LibGateway/prompt_cache_estimate.h"
#include "LibGateway/work_request.h"
#include "LibRouting/engine_placement.h"
#include "LibScheduling/prompt_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// The engine on which a request was placed.
struct placed_engine {
  upstream_id Engine;
  /// The version of the adapter there; 0 if the request names none.
  std::uint64_t Version = 0;
  /// How long an engine of the usual speed would read the prompt; 0 if its time
  /// is no sample of the engine's speed.
  milliseconds UsualReading{0};
};

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
  /// What the placer has placed on one engine since the engine's start.
  struct engine_record {
    std::int64_t StartedAt = 0;
    placed_work Work;
    prompt_cache_estimate Prompts;
  };
  /// The engines of the zone that a request may use, and what it takes to serve
  /// its adapter on each; no outlooks if it names none.
  struct zone_view {
    std::vector<placeable_engine> Engines;
    std::vector<adapter_outlook> Outlooks;
    engine_capacity Size;
  };
  /// An engine as it was when the request was planned. The candidate's work may
  /// be gone since.
  struct planned_engine {
    upstream_id Id;
    engine_candidate Candidate;
  };
  /// The engines on which the request may run, the best first, and what is
  /// expected of it on the best.
  struct placement_plan {
    std::vector<planned_engine> Engines;
    engine_choice Best;
    bool IsAdapterReady = false;
    /// The engines that were compared.
    std::size_t EngineCount = 0;
    /// See placed_engine.
    milliseconds UsualReading{0};
  };
  class reservation;
  class queue_position;

  zone_view viewZone(const work_request &Request) const;
  engine_candidate candidate(const work_request &Request, const zone_view &View,
                             std::size_t Index, time_point Now);
  std::optional<placement_plan> plan(const work_request &Request);
  engine_record &recordOf(const upstream_entry &Entry,
                          const engine_capacity &Capacity);
  std::optional<adapter_location> holdAdapter(const work_request &Request,
                                              const placement_plan &Plan,
                                              time_point Until);
  void dropRemovedEngines(time_point Now);
  bool reserveAlternative(const work_request &Request,
                          const placement_plan &Plan, upstream_id Engine);
  std::optional<placed_engine> carryOut(const work_request &Request,
                                        const placement_plan &Plan,
                                        time_point Until);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  adapter_controller &Controller;
  const std::string Zone;
  const capacity_port Capacity;
  mutable std::mutex Mutex;
  std::map<upstream_id, engine_record> Engines;
  /// The last ticket of any engine.
  std::uint64_t LastTicket = 0;
  /// When engines that have left are dropped next.
  time_point NextDropAt;
  prompt_queue Queue;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_WORK_PLACER_H
