#ifndef PARSLEYSPINDLE_LIBGATEWAY_LOAD_TIME_ESTIMATE_H
#define PARSLEYSPINDLE_LIBGATEWAY_LOAD_TIME_ESTIMATE_H

#include "LibCore/runtime_clock.h"

#include <mutex>

namespace spindle {

/// How long engines take to load an adapter, as a moving average. Thread-safe.
class load_time_estimate {
public:
  milliseconds average() const;
  void add(nanoseconds Took);

private:
  mutable std::mutex Mutex;
  double Milliseconds = 240;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_LOAD_TIME_ESTIMATE_H
