#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_FLOW_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_FLOW_H

#include "LibFleetModel/engine_group.h"
#include "LibFleetModel/host_group.h"
#include "LibFleetModel/request_source.h"
#include "LibFleetModel/run_statistics.h"
#include "LibFleetModel/zone_model.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace spindle {

/// What the requests of a run pass through.
struct flow_parts {
  const model_settings &Settings;
  const model_policy &Policy;
  const runtime_clock &Clock;
  model_timer Timer;
  request_source &Source;
  run_statistics &Statistics;
  const std::vector<std::unique_ptr<zone_model>> &Zones;
  host_group &Hosts;
  engine_group &Engines;
};

/// The way of a run's requests from their callers over hosts and zones to
/// engines, with retries. Not thread-safe.
class request_flow {
public:
  /// The parts must outlive the object.
  explicit request_flow(flow_parts Parts);

  /// Starts a request of a kind that arrives now.
  void arrive(std::size_t Kind);
  /// Delivers the events of an engine's step to the hosts.
  void endStep(std::size_t Engine, const engine_events &Step);
  /// Ends requests whose engine was removed.
  void failLost(std::span<const std::uint64_t> Ids);

private:
  void attempt(const request_pointer &Request);
  upstream_query queryOf(const model_request &Request) const;
  void requestSlot(model_request &Request, const chosen_upstream &Chosen) const;
  void tryHold(const request_pointer &Request);
  void tryNextZone(const request_pointer &Request);
  void refuse(const request_pointer &Request);
  void send(const request_pointer &Request, upstream_id Engine);
  void arriveAt(const request_pointer &Request, std::size_t Engine);
  void noteEvent(model_request &Request);
  void finish(const request_pointer &Request);
  void fail(const request_pointer &Request);
  void end(const request_pointer &Request, request_end End);
  void release(model_request &Request);

  const model_kind &kindOf(const model_request &Request) const {
    return Settings.Kinds[Request.Kind];
  }
  fleet_table &tableOf(const model_request &Request) const {
    return Hosts.tableOf(Request.Host);
  }
  bool isReachable(std::size_t From, std::size_t To) const;
  nanoseconds latency(std::size_t From, std::size_t To) const;

  const model_settings &Settings;
  const model_policy &Policy;
  const runtime_clock &Clock;
  const model_timer Timer;
  request_source &Source;
  run_statistics &Statistics;
  const std::vector<std::unique_ptr<zone_model>> &Zones;
  host_group &Hosts;
  engine_group &Engines;
  /// The requests that have not ended.
  std::map<std::uint64_t, request_pointer> Requests;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_REQUEST_FLOW_H
