#ifndef PARSLEYSPINDLE_BENCHMARKS_LIMIT_CONTENDERS_H
#define PARSLEYSPINDLE_BENCHMARKS_LIMIT_CONTENDERS_H

#include "limit_scenario.h"

#include "LibHost/rate_limiter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// One way of limiting the customer over the fleet.
struct limit_contender {
  std::string Name;
  std::function<bool(std::size_t Host, std::size_t Request, tokens Amount)>
      Reserve;
  std::function<void(std::size_t Request, tokens Used)> Settle;
};

/// Makes buckets without loans: one for all hosts, or one a host.
limit_contender makeBuckets(std::string Name, std::size_t Count, double Part,
                            const limit_scenario &Scenario,
                            const runtime_clock &Clock);

/// Seven rate_limiters that call each other directly.
class escrow_fleet {
public:
  /// \p Clock must outlive the object.
  escrow_fleet(const limit_scenario &Scenario, const runtime_clock &Clock);

  void loseHost(std::size_t Host) { Lost = Host; }
  void cutZone(std::uint64_t Zone) { Cut = Zone; }
  /// Divides the share of the lost host among the others.
  void reassignLost();
  void maintain();
  /// The object must outlive the returned functions.
  limit_contender asContender();

  std::size_t Messages = 0;
  std::size_t Bytes = 0;

private:
  void applyView(std::size_t Host, std::uint32_t Parts);
  void checkReachable(std::size_t From, std::size_t To) const;
  host_link_port linkOf(std::size_t From);

  const runtime_clock &Clock;
  std::vector<std::unique_ptr<rate_limiter>> Limiters;
  std::map<std::size_t, std::pair<std::size_t, rate_reservation>> Reservations;
  /// HostCount if none is lost.
  std::size_t Lost = HostCount;
  /// 0 if none is cut off.
  std::uint64_t Cut = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_LIMIT_CONTENDERS_H
