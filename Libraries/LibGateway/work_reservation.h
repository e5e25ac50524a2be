#ifndef PARSLEYSPINDLE_LIBGATEWAY_WORK_RESERVATION_H
#define PARSLEYSPINDLE_LIBGATEWAY_WORK_RESERVATION_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/planned_engine.h"
#include "LibGateway/zone_work.h"
#include "LibRouting/engine_placement.h"

#include <cstdint>

namespace spindle {

/// A request's entry in the work of an engine; removed on destruction unless
/// keep() was called. Precondition of its construction and destruction: the
/// zone's Mutex is not held.
class work_reservation {
public:
  /// Adds the entry if the engine still has room: other requests may have been
  /// placed since \p Engine was planned. \p Clock and \p Zone must outlive the
  /// reservation.
  /// \param Delay the time until the request reaches the engine.
  work_reservation(const runtime_clock &Clock, zone_work &Zone,
                   const planned_engine &Engine, const placement_query &Query,
                   const request_work &Work, nanoseconds Delay);
  ~work_reservation();
  work_reservation(const work_reservation &) = delete;
  work_reservation &operator=(const work_reservation &) = delete;

  bool isTaken() const { return Ticket > 0; }
  void keep() { IsKept = true; }

private:
  const runtime_clock &Clock;
  zone_work &Zone;
  const upstream_id Engine;
  /// 0 if the engine had no room.
  std::uint64_t Ticket = 0;
  bool IsKept = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_WORK_RESERVATION_H
