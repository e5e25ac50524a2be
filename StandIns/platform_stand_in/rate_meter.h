#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_RATE_METER_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_RATE_METER_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spindle {

enum class store_call { Read, Write };

/// Calls a second that the platform accepts; 0 stands for no limit.
struct call_rates {
  double ReadsPerSecond = 0;
  double WritesPerSecond = 0;
};

struct call_counts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  /// Calls refused because the rate was exceeded.
  std::uint64_t Refused = 0;
  /// The most calls within one second, waiting watches and refused included.
  std::uint64_t PeakReads = 0;
  std::uint64_t PeakWrites = 0;
  std::map<std::string, std::uint64_t, std::less<>> ByKind;
};

/// Counts the platform's calls and holds them to its rates, second by second.
/// A waiting watch counts as one read a second. Not thread-safe.
class rate_meter {
public:
  /// Counts a call and returns whether it is within the rate.
  bool admit(time_point Now, store_call Call, std::string_view ObjectKind,
             const call_rates &Rates);
  /// Counts a watch that begins to wait. Its call was admitted as a read.
  void watchStarted() {
    ++OpenWatches;
    ++Counts.Watches;
  }
  void watchEnded() { --OpenWatches; }

  const call_counts &counts() const { return Counts; }
  std::uint64_t openWatches() const { return OpenWatches; }
  void resetCounts() { Counts = {}; }

private:
  void startSecond(time_point Now);

  std::int64_t Second = -1;
  std::uint64_t ReadsNow = 0;
  std::uint64_t WritesNow = 0;
  std::uint64_t OpenWatches = 0;
  call_counts Counts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_RATE_METER_H
