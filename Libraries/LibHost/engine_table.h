#ifndef PARSLEYSPINDLE_LIBHOST_ENGINE_TABLE_H
#define PARSLEYSPINDLE_LIBHOST_ENGINE_TABLE_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibMembership/host_view.h"
#include "LibRouting/route_choice.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace spindle {

/// An engine's status, as reported by the engine itself or by its owner.
struct engine_status {
  upstream_id Engine;
  std::vector<adapter_id> Loaded;
  std::vector<adapter_id> Loading;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// When the engine's report was made.
  time_point ReportedAt;
  std::uint32_t EvictableSlots = 0;
  double LoadWaitMilliseconds = 0;
  double VictimUsesPerSecond = 0;
};

/// This host's view of the upstreams, and the choice among them. Every method
/// is thread-safe and none blocks.
class engine_table {
public:
  /// \p OwnZone is the zone of this host. \p Seed seeds the random choices.
  engine_table(const runtime_clock &Clock, zone_id OwnZone, std::uint64_t Seed);
  ~engine_table();
  engine_table(const engine_table &) = delete;
  engine_table &operator=(const engine_table &) = delete;

  /// Applies the declared upstreams and the routing policy. The state of
  /// upstreams that are still declared is kept.
  void applyConfiguration(const configuration_snapshot &Configuration);
  /// Updates which upstreams are draining.
  void applyView(const host_view &View);

  /// Chooses an engine for a request that needs an adapter.
  std::optional<route_choice> chooseEngine(std::string_view Model,
                                           adapter_id Adapter,
                                           std::uint64_t PrefixHash,
                                           tokens Prompt,
                                           std::span<const upstream_id> Avoid);
  /// Chooses an upstream of a route to a plain service: the better of two
  /// random ones by load, health and distance.
  std::optional<upstream_id>
  chooseService(std::span<const upstream_declaration *const> Upstreams,
                std::span<const upstream_id> Avoid);

  /// Records that a request is sent to an upstream. Every call must be matched
  /// by one to noteFinish().
  void noteDispatch(upstream_id Upstream);
  /// Records that the request has ended, \p Service after its dispatch.
  void noteFinish(upstream_id Upstream, nanoseconds Service);
  /// Records whether an engine has the prefix of a prompt cached.
  void notePrefix(upstream_id Engine, std::uint64_t PrefixHash, bool Stored);
  /// Sets the fraction of its usual share that an upstream gets, in [0, 1].
  void setHealth(upstream_id Upstream, double Health);
  /// Replaces the status of an engine, unless \p Status is older.
  void noteEngineStatus(const engine_status &Status);
  /// Records that a request of this host waits for the engine to load the
  /// adapter.
  void noteLoadRequested(upstream_id Engine, adapter_id Adapter);
  /// Records that the wait has ended, and whether the adapter is loaded now.
  void noteLoadResult(upstream_id Engine, adapter_id Adapter, bool Loaded);

  /// The estimated number of requests at the upstream, for metrics and queues.
  std::uint32_t load(upstream_id Upstream) const;
  /// The number of this host's requests in flight at the upstream.
  std::uint32_t localInFlight(upstream_id Upstream) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ENGINE_TABLE_H
