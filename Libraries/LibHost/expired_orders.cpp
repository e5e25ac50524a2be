#include "LibHost/expired_orders.h"

#include "LibCore/result_code.h"

#include <vector>

namespace spindle {

void expired_orders::list() {
  const time_point Now = Clock.now();
  if (!NextListing)
    NextListing = Now + Settings.SweepInterval;
  if (Now < *NextListing || !Expired.empty())
    return;
  NextListing = Now + Settings.SweepInterval;
  std::vector<record_age> Ages;
  for (const platform_object &Object :
       Platform.List(platform_kind::Orders).Objects)
    Ages.push_back(
        {Object.Name, Object.Version, parseOrderRecord(Object.Body).ClaimedAt});
  const std::vector<record_age> Old =
      expiredRecords(Ages, Settings.Retention, Clock.wallNow());
  Expired.assign(Old.begin(), Old.end());
}

void expired_orders::remove() {
  for (std::size_t Count = 0;
       Count < Settings.DeletionsPerSweep && !Expired.empty(); ++Count) {
    const record_age Record = Expired.front();
    Expired.pop_front();
    try {
      Platform.Remove(platform_kind::Orders, Record.Name, Record.Version);
    } catch (const spindle_error &) {
      // Either the record has changed, or a later listing finds it again.
    }
  }
}

} // namespace spindle
