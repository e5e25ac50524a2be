#include "LibGateway/waiting_requests.h"

namespace spindle {

waiting_requests::registration::registration(waiting_requests &Requests,
                                             const wait_owner &Owner)
    : Requests(Requests), Owner(Owner), Since(Requests.Clock.now()) {
  const std::lock_guard<std::mutex> Lock(Requests.Mutex);
  Requests.Waiting[Owner].insert(Since);
}

waiting_requests::registration::~registration() {
  const std::lock_guard<std::mutex> Lock(Requests.Mutex);
  std::multiset<time_point> &Times = Requests.Waiting[Owner];
  Times.erase(Times.find(Since));
}

void waiting_requests::report(metrics &Metrics) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Now = Clock.now();
  for (const auto &[Owner, Times] : Waiting) {
    const metric_labels Labels = {{"service", Owner.Service},
                                  {"customer", Owner.Customer}};
    const std::chrono::duration<double> Oldest =
        Times.empty() ? nanoseconds(0) : Now - *Times.begin();
    Metrics.gauge("spindle_adapter_waits", Labels,
                  static_cast<double>(Times.size()));
    Metrics.gauge("spindle_adapter_oldest_wait_seconds", Labels,
                  Oldest.count());
  }
}

} // namespace spindle
