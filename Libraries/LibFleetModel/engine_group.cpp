#include "LibFleetModel/engine_group.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace spindle {

engine_group::engine_group(const model_fleet &Fleet, const runtime_clock &Clock,
                           model_timer Timer, step_handler OnStep)
    : Fleet(Fleet), Clock(Clock), Timer(std::move(Timer)),
      OnStep(std::move(OnStep)) {}

upstream_id engine_group::add(std::size_t Zone) {
  const std::string Name = "e" + std::to_string(Members.size());
  const upstream_id Id = upstream_id::ofName(Name);
  Indices[Id] = Members.size();
  Members.push_back({Id, Name, Zone, std::make_unique<engine_model>(Fleet)});
  return Id;
}

std::int64_t
engine_group::mostCachedTokens(const request_description &Request) const {
  std::int64_t Most = 0;
  for (const member &Member : Members)
    Most = std::max(Most, Member.Engine->cachedTokens(Request));
  return Most;
}

void engine_group::start(std::size_t Index, const engine_run &Run) {
  Members[Index].Engine->add(Run);
  startStep(Index);
}

void engine_group::cancel(std::size_t Index, std::uint64_t Id) {
  Members[Index].Engine->cancel(Id);
}

void engine_group::startStep(std::size_t Index) {
  member &Member = Members[Index];
  if (Member.Stepping || Member.Removed || !Member.Engine->busy())
    return;
  Member.Stepping = true;
  const std::shared_ptr<engine_events> Events =
      std::make_shared<engine_events>();
  const nanoseconds Duration = Member.Engine->step(*Events);
  Timer(Clock.now() + Duration,
        [this, Index, Events, Incarnation = Member.Incarnation] {
          if (Members[Index].Incarnation != Incarnation)
            return;
          Members[Index].Stepping = false;
          OnStep(Index, *Events);
          startStep(Index);
        });
}

void engine_group::remove(double Share, const removal_handler &OnRemoval) {
  const std::size_t Count = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Members.size())));
  // Every second one, so that each zone loses some.
  for (std::size_t Step = 0; Step < 2 * Count; Step += 2) {
    const std::size_t Index =
        Step % Members.size() + (Step >= Members.size() ? 1 : 0);
    const std::size_t Chosen = std::min(Index, Members.size() - 1);
    member &Member = Members[Chosen];
    if (Member.Removed)
      continue;
    Member.Removed = true;
    Member.Stepping = false;
    ++Member.Incarnation;
    OnRemoval(Chosen, Member.Engine->clear());
  }
}

void engine_group::restore() {
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    Members[Index].Removed = false;
    startStep(Index);
  }
}

} // namespace spindle
