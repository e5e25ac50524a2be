#include "LibHost/unwritten_outcomes.h"

#include "LibLog/log.h"

namespace spindle {

using lock = std::lock_guard<std::mutex>;

void unwritten_outcomes::add(confirmed_claim Claim) {
  logEvent(log_event::OrderOutcomeWaits, {{"order", Claim.Name}});
  const lock Lock(Mutex);
  ResponseBytes += Claim.Record.Response.Body.size();
  if (ResponseBytes > Settings.UnwrittenLimitBytes) {
    ResponseBytes -= Claim.Record.Response.Body.size();
    Claim.Record.ResponseStored = false;
    Claim.Record.Response = {};
  }
  Outcomes.push_back(std::move(Claim));
}

void unwritten_outcomes::retry() {
  for (std::size_t Count = 0; Count < Settings.WritesPerSweep; ++Count) {
    confirmed_claim Claim;
    {
      const lock Lock(Mutex);
      if (Outcomes.empty())
        return;
      Claim = Outcomes.front();
    }
    // The outcome stays in the queue during the write, so that a planned stop
    // waits for it.
    const bool Written = Records.writeOutcome(Claim);
    const lock Lock(Mutex);
    if (!Written) {
      Outcomes.front().Version = Claim.Version;
      return;
    }
    ResponseBytes -= Outcomes.front().Record.Response.Body.size();
    Outcomes.pop_front();
  }
}

std::size_t unwritten_outcomes::size() const {
  const lock Lock(Mutex);
  return Outcomes.size();
}

} // namespace spindle
