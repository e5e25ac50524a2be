#ifndef PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_POSITION_H
#define PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_POSITION_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/slot_queue.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace spindle {

/// The position of a request in the queue for slots. Leaves the queue on
/// destruction.
class slot_queue_position {
public:
  /// \p Mutex guards \p Queue. Both, \p Clock and \p SlotRequest must outlive
  /// the position.
  slot_queue_position(const runtime_clock &Clock, std::mutex &Mutex,
                      slot_queue &Queue, adapter_name Adapter,
                      const slot_request &SlotRequest);
  /// Precondition: the mutex is not held.
  ~slot_queue_position();
  slot_queue_position(const slot_queue_position &) = delete;
  slot_queue_position &operator=(const slot_queue_position &) = delete;

  /// Precondition of all methods: the mutex is held.
  /// \throws retry_after_error if the request would expire before it gets a
  /// slot.
  void enter();
  void leave();
  const slot_queue &queue() const { return Queue; }
  /// Records that the adapter was granted a slot, if the request is queued.
  void noteGranted(upstream_id Engine) const;

private:
  const runtime_clock &Clock;
  std::mutex &Mutex;
  slot_queue &Queue;
  const adapter_name Adapter;
  const slot_request &SlotRequest;
  std::optional<std::uint64_t> Ticket;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_POSITION_H
