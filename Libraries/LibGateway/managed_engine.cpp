#include "LibGateway/managed_engine.h"

namespace spindle {

// An unresponsive engine gets no orders for this long.
static constexpr milliseconds UnresponsivePeriod{1'000};
// A single missing answer may be a lost message; an unresponsive engine misses
// several in a row.
static constexpr std::uint32_t UnresponsiveThreshold = 2;

bool isUnresponsive(const managed_engine &Engine, time_point Now) {
  return Now < Engine.UnresponsiveUntil.load();
}

void markUnresponsive(managed_engine &Engine, time_point Now) {
  Engine.UnresponsiveUntil = Now + UnresponsivePeriod;
}

bool applyOrderOutcome(managed_engine &Engine, order_action Action,
                       order_outcome Outcome, bool IsRepeat, time_point Now) {
  const bool Accepted =
      Outcome == order_outcome::Started ||
      (Outcome == order_outcome::Done && Action == order_action::Unload);
  if (Accepted && !IsRepeat) {
    ++Engine.OrderCount;
    Engine.LastAcceptedAt = Now;
  }
  if (Action == order_action::Unload)
    Engine.UnloadPending = Outcome == order_outcome::Started;
  if (Outcome == order_outcome::OrderCountMismatch ||
      Outcome == order_outcome::Unknown)
    Engine.OrderCountKnown = false;
  if (Outcome != order_outcome::Unknown) {
    Engine.UnansweredOrders = 0;
    return false;
  }
  // The engine may have accepted the order even though no answer arrived.
  Engine.LastAcceptedAt = Now;
  if (++Engine.UnansweredOrders < UnresponsiveThreshold)
    return false;
  markUnresponsive(Engine, Now);
  return true;
}

} // namespace spindle
