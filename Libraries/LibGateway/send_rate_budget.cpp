#include "LibGateway/send_rate_budget.h"

#include "LibCore/strong_id.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace spindle {

// Each host that sends adds up to one request to the busiest second, as its
// requests and that second may begin together.
static constexpr double RequestsPerSender = 2;
static constexpr double MinRequestsPerSecond = 0.1;

static std::vector<std::string_view>
eligibleHosts(std::string_view Zone, std::span<const host_location> Hosts) {
  std::vector<std::string_view> Own;
  std::vector<std::string_view> All;
  for (const host_location &Host : Hosts) {
    All.push_back(Host.Name);
    if (Host.Zone == Zone)
      Own.push_back(Host.Name);
  }
  return Own.empty() ? All : Own;
}

/// The number of hosts that precede \p OwnName in the rendezvous order of the
/// upstream.
static std::size_t rankOf(std::string_view OwnName, std::string_view Upstream,
                          std::span<const std::string_view> Hosts) {
  const auto Weight = [Upstream](std::string_view Host) {
    return hashName(std::string(Host) + "@" + std::string(Upstream));
  };
  const std::uint64_t OwnWeight = Weight(OwnName);
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(), [&](std::string_view Host) {
        return Weight(Host) > OwnWeight;
      }));
}

std::optional<nanoseconds> sendInterval(const upstream_entry &Upstream,
                                        double RequestsPerSecond,
                                        std::span<const host_location> Hosts,
                                        std::string_view OwnName) {
  const std::vector<std::string_view> Eligible =
      eligibleHosts(Upstream.Zone, Hosts);
  const bool IsEligible =
      std::find(Eligible.begin(), Eligible.end(), OwnName) != Eligible.end();
  if (!IsEligible)
    return std::nullopt;
  const double Rate = std::max(RequestsPerSecond, MinRequestsPerSecond);
  const double Wanted = std::max(1.0, std::floor(Rate / RequestsPerSender));
  const double Senders = std::min(Wanted, static_cast<double>(Eligible.size()));
  const std::size_t Rank = rankOf(OwnName, Upstream.Name, Eligible);
  if (static_cast<double>(Rank) >= Senders)
    return std::nullopt;
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(Senders / Rate));
}

} // namespace spindle
