#include "host_balancer.h"

#include "LibCore/result_code.h"
#include "call_limits.h"

namespace spindle {

static const http_call_limits ProbeLimits =
    makeCallLimits(milliseconds(500), milliseconds(1'000), milliseconds(1'000));

host_balancer::host_balancer(const std::vector<load_target> &Hosts)
    : Hosts(Hosts), Ready(std::make_unique<std::atomic<bool>[]>(Hosts.size())) {
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
    Ready[Host] = true;
}

const endpoint &host_balancer::address(std::size_t Host) const {
  return Hosts[Host].Address;
}

std::size_t host_balancer::readyHost(std::size_t First) const {
  for (std::size_t Step = 0; Step < Hosts.size(); ++Step) {
    const std::size_t Host = (First + Step) % Hosts.size();
    if (Ready[Host])
      return Host;
  }
  return First;
}

void host_balancer::noteUnreachable(std::size_t Host) { Ready[Host] = false; }

void host_balancer::probe(http_client &Http) {
  const http_request_head Request{"GET", "/readyz", {}};
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    try {
      const http_response Response =
          Http.call(Hosts[Host].Address, Request, "", ProbeLimits,
                    connection_use::FreshOnce, 65'536);
      Ready[Host] = Response.Head.Status == 200;
    } catch (const spindle_error &) {
      Ready[Host] = false;
    }
  }
}

std::size_t host_balancer::readyCount() const {
  std::size_t Count = 0;
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
    Count += Ready[Host] ? 1 : 0;
  return Count;
}

} // namespace spindle
