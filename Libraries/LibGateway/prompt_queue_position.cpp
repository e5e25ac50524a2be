#include "LibGateway/prompt_queue_position.h"

#include "LibCore/retry_after_error.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>
#include <string>

namespace spindle {

static constexpr milliseconds RoomPollInterval{10};
static constexpr milliseconds ReplanInterval{60};
// A prompt that would be late at its engine waits at the leader until the
// engine has at most this left to read.
static constexpr milliseconds MaxBacklogIfLate{250};

prompt_queue_position::prompt_queue_position(const runtime_clock &Clock,
                                             zone_work &Zone,
                                             const work_request &Request)
    : Clock(Clock), Zone(Zone), Request(Request) {}

prompt_queue_position::~prompt_queue_position() {
  const std::lock_guard<std::mutex> Lock(Zone.Mutex);
  leaveQueue(Zone.Queue, Ticket);
}

/// Precondition: the zone's Mutex is held.
bool prompt_queue_position::isTurn(time_point Now) {
  const engine_placements *const Engine = findPlacements(Zone, Prompt.Engine);
  if (!Engine)
    return true;
  const nanoseconds InTime = Prompt.OnTimeUntil - Now - Prompt.Reading;
  const nanoseconds Limit = std::max<nanoseconds>(InTime, MaxBacklogIfLate);
  return readingBacklog(Engine->Work, Now + Loading) <= Limit &&
         hasPriority(Zone.Queue, Ticket, Prompt, Now);
}

static std::string millisecondsText(nanoseconds Time) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(Time).count()) +
         " ms";
}

/// Precondition: the zone's Mutex is held.
void prompt_queue_position::refuseIfUseless(const placement_plan &Plan,
                                            time_point Now) const {
  const nanoseconds Ahead =
      expectedWait(Zone.Queue, Ticket, Prompt, Plan.EngineCount, Now);
  const time_point FirstEvent = Now + Ahead + Plan.Best.FirstEvent;
  if (FirstEvent <= Request.Slot.UsefulUntil)
    return;
  throw retry_after_error(
      result_code::AdapterNotLoaded,
      "no engine would begin its answer while that is of use: " +
          millisecondsText(Ahead) + " ahead here, " +
          millisecondsText(Plan.Best.FirstEvent) + " there, of which " +
          millisecondsText(Plan.Best.Loading) + " for the adapter and " +
          millisecondsText(Plan.Best.Work.Reading) + " for its own prompt",
      std::chrono::duration_cast<milliseconds>(FirstEvent -
                                               Request.Slot.UsefulUntil));
}

void prompt_queue_position::applyPlan(const placement_plan &Plan) {
  Prompt.Claim = {Request.Slot.Urgency, Request.Slot.Customer};
  Prompt.Engine = Plan.Engines.front().Id;
  Prompt.Reading = Plan.Best.Work.Reading;
  Prompt.OnTimeUntil = Request.Slot.OnTimeUntil;
  Prompt.UsefulUntil = Request.Slot.UsefulUntil;
  Loading = Plan.Best.Loading;
}

bool prompt_queue_position::mayProceed(const placement_plan &Plan) {
  applyPlan(Plan);
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Zone.Mutex);
  refuseIfUseless(Plan, Now);
  if (Ticket > 0)
    updatePrompt(Zone.Queue, Ticket, Prompt);
  if (isTurn(Now)) {
    noteSent(Zone.Queue, Ticket);
    leaveQueue(Zone.Queue, Ticket);
    Ticket = 0;
    return true;
  }
  if (Ticket == 0)
    Ticket = enterQueue(Zone.Queue, Prompt);
  return false;
}

void prompt_queue_position::wait() {
  const time_point Until = Clock.now() + ReplanInterval;
  while (true) {
    sleepFor(RoomPollInterval);
    const time_point Now = Clock.now();
    if (Now >= Until)
      return;
    const std::lock_guard<std::mutex> Lock(Zone.Mutex);
    if (Ticket == 0 || isTurn(Now))
      return;
  }
}

} // namespace spindle
