#include "engine_stand_in/engine_switches.h"

#include "LibStandIn/json_exchange.h"

#include <algorithm>

namespace spindle {

engine_faults engine_switches::faults() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Faults;
}

bool engine_switches::apply(engine_faults New) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Restart = New.Restarts > Faults.Restarts;
  if (New.Silent && !Faults.Silent)
    MutedUpTo = LastConnection;
  Faults = std::move(New);
  return Restart;
}

request_faults engine_switches::drawFor(std::string_view Prompt) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const request_faults Drawn = drawFaults(Faults, Prompt);
  if (Drawn.Crash)
    RefusingUntil = boot_clock::now() + Faults.CrashTime;
  return Drawn;
}

load_faults engine_switches::drawForLoad() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return drawLoadFaults(Faults);
}

bool engine_switches::isRefusing() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Faults.Down || boot_clock::now() < RefusingUntil;
}

bool engine_switches::isMuted(const http_exchange &Exchange) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::uint64_t Connection = Exchange.connectionNumber();
  LastConnection = std::max(LastConnection, Connection);
  return Faults.Silent && (Faults.SilentNew || Connection <= MutedUpTo);
}

bool engine_switches::passSilence(http_exchange &Exchange) {
  if (!isMuted(Exchange))
    return true;
  holdSilently(Exchange, [&] { return !isMuted(Exchange); });
  Exchange.abort();
  return false;
}

} // namespace spindle
