#ifndef PARSLEYSPINDLE_LIBLOAD_EVENT_QUEUE_H
#define PARSLEYSPINDLE_LIBLOAD_EVENT_QUEUE_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace spindle {

/// Work to run at a time of a virtual clock.
struct timed_work {
  time_point Time;
  std::function<void()> Work;
};

/// Work ordered by its time; work for the same time keeps the order in which it
/// was added. Not thread-safe.
class event_queue {
public:
  void add(time_point Time, std::function<void()> Work);
  /// Removes and returns the first work if its time is at most \p Until.
  std::optional<timed_work> takeUntil(time_point Until);

private:
  struct entry {
    timed_work Event;
    std::uint64_t Order = 0;
  };
  struct is_later {
    bool operator()(const entry &Left, const entry &Right) const;
  };

  std::priority_queue<entry, std::vector<entry>, is_later> Entries;
  std::uint64_t LastOrder = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_EVENT_QUEUE_H
