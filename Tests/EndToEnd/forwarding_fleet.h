#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_FORWARDING_FLEET_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_FORWARDING_FLEET_H

#include "EndToEnd/child_process.h"
#include "EndToEnd/temporary_folder.h"
#include "LibForwarding/object_store_stand_in.h"
#include "LibForwarding/upstream_stand_in.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/fiber_runtime.h"

#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// What a caller received. Cut answers have Whole unset.
struct forwarded_answer {
  int Status = 0;
  http_fields Fields;
  std::string Body;
  bool Whole = false;
};

struct forwarding_fleet_options {
  std::size_t EnginesPerZone = 1;
  /// The setting of that name; 0 leaves it out.
  std::size_t PlacementMinEngines = 0;
  /// The longest time of a planned stop.
  milliseconds Drain{7'500};
  /// Where the plain services are, in the order of their zones; empty for the
  /// fleet's own stand-ins.
  std::vector<endpoint> ServiceAddresses = {};
};

/// Real hosts with the forwarding interface before stand-ins of the store and
/// of upstreams: two hosts in zone a, one in zone b; model engines in each
/// zone; two plain services.
class forwarding_fleet {
public:
  explicit forwarding_fleet(const forwarding_fleet_options &Options = {});
  ~forwarding_fleet();
  forwarding_fleet(const forwarding_fleet &) = delete;
  forwarding_fleet &operator=(const forwarding_fleet &) = delete;

  void startHost(std::size_t Host);
  void killHost(std::size_t Host);
  child_process &host(std::size_t Host) { return *Hosts[Host].Process; }
  bool ready(std::size_t Host);
  const std::string &settingsFile(std::size_t Host) const {
    return Hosts[Host].SettingsFile;
  }
  /// The value of a host's metric without labels; 0 if it has none.
  double metric(std::size_t Host, const std::string &Name);
  /// Where a host listens for callers.
  const endpoint &callersOf(std::size_t Host) const {
    return Hosts[Host].Callers;
  }
  /// Writes the operator's configuration, with these keys of customer c1.
  void configure(std::uint64_t Version, const std::vector<std::string> &Keys);

  /// Requests a stream of adapter \p Adapter.
  forwarded_answer ask(std::size_t Host, const std::string &Id,
                       const std::string &Adapter,
                       const std::string &Path = "/once/x",
                       const std::string &Key = "k1");
  /// Requests a stream and closes the connection after \p Time.
  void askAndLeave(std::size_t Host, const std::string &Id,
                   const std::string &Adapter, milliseconds Time);
  /// Calls the plain service: "/order/x" at most once, "/check/x" idempotent,
  /// "/events/x" for a stream that may not be resumed.
  forwarded_answer call(std::size_t Host, const std::string &Id,
                        const std::string &Path, const std::string &Body);

  fiber_runtime Runtime{2};
  object_store_stand_in Store{Runtime};
  std::vector<std::unique_ptr<upstream_stand_in>> Engines;
  std::vector<std::unique_ptr<upstream_stand_in>> Services;

private:
  struct running_host {
    std::unique_ptr<child_process> Process;
    std::string SettingsFile;
    endpoint Callers;
    endpoint Ready;
    endpoint Metrics;
  };

  void writeSettings(std::size_t Host);
  void registerAll();
  /// Whether all hosts are ready and each zone has its leader.
  bool settled();
  forwarded_answer send(std::size_t Host, const http_request_head &Head,
                        const std::string &Body);

  const forwarding_fleet_options Options;
  const temporary_folder Folder;
  http_client Client;
  std::vector<running_host> Hosts;
  std::vector<endpoint> Links;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_FORWARDING_FLEET_H
