#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_GROUP_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_GROUP_H

#include "LibFleetModel/engine_model.h"
#include "LibFleetModel/zone_model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace spindle {

/// All engines of a run, by index. Their steps run on the virtual clock. Not
/// thread-safe.
class engine_group {
public:
  struct member {
    upstream_id Id;
    std::string Name;
    std::size_t Zone = 0;
    std::unique_ptr<engine_model> Engine;
    /// Whether a step runs.
    bool Stepping = false;
    /// Whether the engine is removed at present.
    bool Removed = false;
    /// Counts removals, so that a step from before one has no effect.
    std::uint64_t Incarnation = 1;
  };
  using step_handler =
      std::function<void(std::size_t Engine, const engine_events &)>;
  using removal_handler = std::function<void(
      std::size_t Engine, std::span<const std::uint64_t> Lost)>;

  /// \p Fleet and \p Clock must outlive the object; \p OnStep runs at the end
  /// of each step.
  engine_group(const model_fleet &Fleet, const runtime_clock &Clock,
               model_timer Timer, step_handler OnStep);

  /// Adds an engine in \p Zone and returns its id.
  upstream_id add(std::size_t Zone);
  std::size_t indexOf(upstream_id Id) const { return Indices.at(Id); }
  const member &at(std::size_t Index) const { return Members[Index]; }
  std::span<const member> all() const { return Members; }
  /// The most tokens of the request's prompt that any engine has cached.
  std::int64_t mostCachedTokens(const request_description &Request) const;

  /// Queues a request at an engine, which starts a step if none runs.
  void start(std::size_t Index, const engine_run &Run);
  /// Removes a request; an unknown id is ignored.
  void cancel(std::size_t Index, std::uint64_t Id);
  /// Removes \p Share of the engines, from all zones alike, and calls
  /// \p OnRemoval for each with the ids of its requests.
  void remove(double Share, const removal_handler &OnRemoval);
  /// Adds the removed engines again, empty.
  void restore();

private:
  void startStep(std::size_t Index);

  const model_fleet &Fleet;
  const runtime_clock &Clock;
  const model_timer Timer;
  const step_handler OnStep;
  std::vector<member> Members;
  std::map<upstream_id, std::size_t> Indices;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_GROUP_H
