#include "LibGateway/service_retry_paces.h"

namespace spindle {

void service_retry_paces::noteServed(std::string_view Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteServed(Paces[std::string(Service)], Clock.now());
}

void service_retry_paces::noteRefused(std::string_view Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteRefused(Paces[std::string(Service)], Clock.now());
}

milliseconds service_retry_paces::retryAfter(std::string_view Service,
                                             milliseconds UntilRoom,
                                             milliseconds TimeLeft,
                                             double Draw) const {
  retry_facts Facts;
  Facts.UntilRoom = UntilRoom;
  Facts.TimeLeft = TimeLeft;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Paces.find(Service);
  if (Found != Paces.end()) {
    const time_point Now = Clock.now();
    Facts.ServedPerSecond = servedPerSecond(Found->second, Now);
    Facts.Returning = returningCount(Found->second, Now);
  }
  return spindle::retryAfter(Facts, Draw);
}

} // namespace spindle
