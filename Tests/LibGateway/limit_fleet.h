#ifndef PARSLEYSPINDLE_TESTS_LIBGATEWAY_LIMIT_FLEET_H
#define PARSLEYSPINDLE_TESTS_LIBGATEWAY_LIMIT_FLEET_H

#include "LibGateway/fleet_table.h"

#include <memory>
#include <optional>
#include <vector>

namespace spindle {

/// Hosts of several zones on a paused clock. Each sends as many requests as it
/// may to one upstream, which states a limit in its responses, and exchanges
/// limits with the leader of its zone. Used by one thread.
class limit_fleet {
public:
  /// A request takes \p ResponseTime.
  limit_fleet(std::size_t Zones, std::size_t HostsPerZone,
              milliseconds ResponseTime);

  void run(milliseconds Time);
  /// Sets what the upstream states from now on.
  void state(std::optional<double> RequestsPerSecond) {
    Limit = RequestsPerSecond;
  }
  /// Cuts a zone off from the others, or joins it to them again.
  void setCut(std::size_t Zone, bool IsCut) { CutZones[Zone] = IsCut; }
  /// Registers or removes a host; the others learn of it one after the other
  /// within a second.
  void setRegistered(std::size_t Host, bool IsRegistered);
  /// Starts the upstream anew, without a limit.
  void restartUpstream();

  std::size_t size() const { return Hosts.size(); }
  /// The most requests within four of the last seconds, from hosts that had
  /// received the limit half a second before.
  std::size_t busiestFourSeconds(milliseconds Past) const;
  /// The requests of the last seconds.
  std::size_t sentWithin(milliseconds Past) const;

private:
  struct host {
    host_location Location;
    std::unique_ptr<fleet_table> Table;
    bool IsRegistered = true;
    std::optional<time_point> ToldAt;
    time_point ViewChangesAt;
  };
  struct request {
    std::size_t Host = 0;
    time_point SentAt;
    bool IsAnswered = false;
    bool WasTold = false;
  };

  upstream_pointer makeUpstream() const;
  void applyViews();
  void answer();
  void send();
  void exchange();
  void exchangeBetween(std::size_t From, std::size_t To);
  bool areConnected(std::size_t One, std::size_t Other) const;

  runtime_clock Clock;
  const std::size_t HostsPerZone;
  const milliseconds ResponseTime;
  std::int64_t StartedAt = 1;
  upstream_pointer Upstream;
  std::optional<double> Limit;
  std::vector<bool> CutZones;
  std::vector<host> Hosts;
  std::vector<request> Requests;
  time_point NextExchange;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBGATEWAY_LIMIT_FLEET_H
