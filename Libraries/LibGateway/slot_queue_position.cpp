#include "LibGateway/slot_queue_position.h"

#include "LibCore/retry_after_error.h"

namespace spindle {

slot_queue_position::slot_queue_position(const runtime_clock &Clock,
                                         std::mutex &Mutex, slot_queue &Queue,
                                         adapter_name Adapter,
                                         const slot_request &SlotRequest)
    : Clock(Clock), Mutex(Mutex), Queue(Queue), Adapter(std::move(Adapter)),
      SlotRequest(SlotRequest) {}

slot_queue_position::~slot_queue_position() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  leave();
}

void slot_queue_position::enter() {
  if (Ticket)
    return;
  const time_point Now = Clock.now();
  const std::optional<nanoseconds> Wait =
      expectedWait(Queue, Adapter, SlotRequest, Now);
  if (Wait && Now + *Wait > SlotRequest.UsefulUntil)
    throw retry_after_error(result_code::AdapterNotLoaded,
                            "all adapter slots of the zone's engines are in "
                            "use and none is expected "
                            "to become free in time",
                            std::chrono::duration_cast<milliseconds>(*Wait));
  Ticket = enterQueue(Queue, Adapter, SlotRequest);
}

void slot_queue_position::leave() {
  if (Ticket)
    leaveQueue(Queue, Adapter, *Ticket);
  Ticket.reset();
}

void slot_queue_position::noteGranted(upstream_id Engine) const {
  if (Ticket)
    noteGrant(Queue, Adapter, Engine, Clock.now());
}

} // namespace spindle
