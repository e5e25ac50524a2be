#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SWITCHES_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SWITCHES_H

#include "LibCore/runtime_clock.h"
#include "LibHTTP/http_server.h"
#include "engine_stand_in/engine_faults.h"

#include <cstdint>
#include <mutex>
#include <string_view>

namespace spindle {

/// The switches of /control and what they do to connections. Thread-safe.
class engine_switches {
public:
  engine_faults faults() const;
  /// Replaces all faults; returns whether the engine has to restart.
  bool apply(engine_faults New);
  /// Uses up counted faults for a request with this prompt. If it crashes the
  /// engine, connections are refused from now on for the time of a crash.
  request_faults drawFor(std::string_view Prompt);
  /// Uses up counted faults for a load.
  load_faults drawForLoad();

  /// Whether connections are closed without an answer.
  bool isRefusing() const;
  /// Holds the exchange while its connection is silent; returns whether it may
  /// go on, and aborts it if not.
  bool passSilence(http_exchange &Exchange);

private:
  bool isMuted(const http_exchange &Exchange);

  mutable std::mutex Mutex;
  engine_faults Faults;
  /// The highest connection number, and the one when silence began.
  std::uint64_t LastConnection = 0;
  std::uint64_t MutedUpTo = 0;
  time_point RefusingUntil{};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SWITCHES_H
