#ifndef PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_FLEET_H
#define PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_FLEET_H

#include "adapter_popularity.h"
#include "placement_model.h"

#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_owner.h"
#include "LibRouting/route_choice.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace spindle {

struct placement_request {
  std::size_t Host = 0;
  adapter_id Adapter;
  time_point Arrived;
  nanoseconds Service{0};
  std::size_t Engine = 0;
  time_point Pinned;
  bool Stalled = false;
  bool Measured = false;
};

using placement_request_pointer = std::shared_ptr<placement_request>;

struct placement_engine {
  std::uint32_t Running = 0;
  std::deque<placement_request_pointer> Waiting;
  /// When Running last changed.
  time_point Changed;
  double BusySeconds = 0;
  double BatchSeconds = 0;
  /// The adapters in the last report to the hosts.
  std::vector<adapter_id> Reported;
};

struct placement_host {
  routing_table Table;
  pin_cache Pins;
  residency_owner Owner;
  /// The requests that wait for a pin of this owner, by ticket.
  std::map<std::uint64_t, std::pair<waiting_pin, placement_request_pointer>>
      Waiters;
};

/// Hosts and engines, zone by zone. The first host of a zone owns its engines.
class placement_fleet {
public:
  /// \p Load must outlive the object.
  placement_fleet(const placement_load &Load, const placement_policy &Policy,
                  time_point Now);

  std::size_t ownerOf(std::size_t Engine) const;
  std::size_t zoneOfHost(std::size_t Host) const;
  std::size_t zoneOfEngine(std::size_t Engine) const;
  static upstream_id idOf(std::size_t Engine) { return {Engine + 1}; }
  engine_slots &slotsOf(std::size_t Engine);

  std::vector<placement_host> Hosts;
  std::vector<placement_engine> Engines;
  std::vector<pin_holder> Holders;

private:
  void buildTable(placement_host &Host, std::size_t HostIndex) const;
  void buildSlots(std::size_t Engine, time_point Now);

  const placement_load &Load;
};

/// Fills the slots with the most popular adapters, each as often as its
/// demand needs engines.
void placeBest(placement_fleet &Fleet, const placement_load &Load,
               const adapter_popularity &Popularity, time_point Now);
/// Sets the owners' counts of uses by the true popularity.
void applyPopularity(placement_fleet &Fleet, const placement_load &Load,
                     const adapter_popularity &Popularity, time_point Now);
/// Delivers the pins of all hosts to the engines' owners.
void syncAllPins(placement_fleet &Fleet, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_FLEET_H
