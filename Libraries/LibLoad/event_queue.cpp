#include "LibLoad/event_queue.h"

#include <tuple>

namespace spindle {

bool event_queue::is_later::operator()(const entry &Left,
                                       const entry &Right) const {
  return std::tie(Left.Event.Time, Left.Order) >
         std::tie(Right.Event.Time, Right.Order);
}

void event_queue::add(time_point Time, std::function<void()> Work) {
  Entries.push({{Time, std::move(Work)}, ++LastOrder});
}

std::optional<timed_work> event_queue::takeUntil(time_point Until) {
  if (Entries.empty() || Entries.top().Event.Time > Until)
    return std::nullopt;
  timed_work Next = Entries.top().Event;
  Entries.pop();
  return Next;
}

} // namespace spindle
