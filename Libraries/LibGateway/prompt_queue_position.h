#ifndef PARSLEYSPINDLE_LIBGATEWAY_PROMPT_QUEUE_POSITION_H
#define PARSLEYSPINDLE_LIBGATEWAY_PROMPT_QUEUE_POSITION_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/placement_plan.h"
#include "LibGateway/work_request.h"
#include "LibGateway/zone_work.h"
#include "LibScheduling/prompt_queue.h"

#include <cstdint>

namespace spindle {

/// A request's entry in the prompt queue of a zone; removed on destruction.
/// Precondition of its methods and its destruction: the zone's Mutex is not
/// held.
class prompt_queue_position {
public:
  /// All arguments must outlive this object.
  prompt_queue_position(const runtime_clock &Clock, zone_work &Zone,
                        const work_request &Request);
  ~prompt_queue_position();
  prompt_queue_position(const prompt_queue_position &) = delete;
  prompt_queue_position &operator=(const prompt_queue_position &) = delete;

  /// Whether the request may be sent as planned; if so, leaves the queue, else
  /// enters it.
  /// \throws retry_after_error if its turn would come too late to be of use.
  bool mayProceed(const placement_plan &Plan);
  /// Waits until it is probably the request's turn, for RoomPollInterval at
  /// least and ReplanInterval at most. Blocks the fiber.
  void wait();

private:
  bool isTurn(time_point Now);
  void refuseIfUseless(const placement_plan &Plan, time_point Now) const;
  void applyPlan(const placement_plan &Plan);

  const runtime_clock &Clock;
  zone_work &Zone;
  const work_request &Request;
  waiting_prompt Prompt;
  nanoseconds Loading{0};
  /// 0 while the request does not wait.
  std::uint64_t Ticket = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PROMPT_QUEUE_POSITION_H
