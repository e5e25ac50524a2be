#ifndef PARSLEYSPINDLE_LIBSETTINGS_HOST_SETTINGS_H
#define PARSLEYSPINDLE_LIBSETTINGS_HOST_SETTINGS_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibLog/log.h"
#include "LibSettings/lease_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Where a host listens. Port 0 lets the kernel choose.
struct listen_settings {
  endpoint Callers;
  endpoint HostLink;
  endpoint Metrics;
  /// Where the balancer requests the host's readiness, if not at Callers.
  endpoint Ready;
};

/// The protocol of callers and upstreams.
enum class host_interface {
  /// OpenAI's completions, and orders with a key of the caller's.
  OpenAi,
  /// Requests whose headers hold all that decides; bodies are passed unread.
  Forwarding,
};

/// How often requests may be sent to upstreams once more; see repeat_limits.
struct repeat_settings {
  std::uint32_t Percent = 20;
  double Extra = 50;
  double WindowSeconds = 10;
};

/// How long after the platform accepted a change every host must act on it.
struct reaction_settings {
  milliseconds Configuration{2'000};
  /// A registered upstream that drains or is gone.
  milliseconds Upstream{2'000};
  /// A zone that is evacuated; 0 if zones are never evacuated.
  milliseconds Evacuation{0};
};

/// How the engine for a request is chosen.
struct routing_settings {
  /// The leader of a zone places requests by their work where the zone has at
  /// least so many engines of the service; 0 turns it off.
  std::uint32_t PlacementMinEngines = 0;
};

/// Where the platform's API is.
struct platform_settings {
  std::vector<endpoint> Servers;
  std::string Namespace = "default";
  milliseconds CallTimeout{2'000};
};

struct timeout_settings {
  milliseconds Drain{300'000};
  /// Between the start of a drain and the end of accepting, so that the
  /// balancer takes the host out of its rotation first.
  milliseconds DrainDelay{2'000};
  milliseconds AdmissionWait{50};
  milliseconds Header{10'000};
  milliseconds IdleConnection{60'000};
  milliseconds CallerStall{30'000};
  milliseconds Connect{1'000};
  milliseconds PeerCall{500};
  milliseconds ConfigurationPoll{2'000};
};

struct limit_settings {
  std::size_t HeaderBytes = 16'384;
  std::uint32_t Connections = 20'000;
  std::uint32_t IdleConnectionsPerUpstream = 64;
};

/// The contents of a host's settings file.
struct host_settings {
  /// As in the platform's list of machines.
  std::string Name;
  std::string Zone;
  host_interface Interface = host_interface::OpenAi;
  std::uint32_t Threads = 2;
  /// Where other hosts serve the protocol between hosts; called while the
  /// platform has not reported which hosts there are.
  std::vector<endpoint> Seeds;
  listen_settings Listen;
  platform_settings Platform;
  log_settings Log;
  lease_settings Lease;
  timeout_settings Timeouts;
  limit_settings Limits;
  repeat_settings Repeats;
  reaction_settings Reaction;
  routing_settings Routing;
};

/// Reads a settings file's text, JSON with comments, and checks it whole.
/// \throws spindle_error InvalidSettings whose message has a line for each
/// problem: "FILE:LINE:COLUMN: field: what is wrong". Thread-safe.
host_settings parseHostSettings(std::string_view Text,
                                std::string_view FileName);
/// Names the fields in which \p Next differs from \p Current and that a
/// running process can't change, separated by blanks. Thread-safe.
std::string fieldsThatNeedRestart(const host_settings &Current,
                                  const host_settings &Next);
/// Writes the table of all fields in Markdown. Thread-safe.
std::string printSettingsReference();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSETTINGS_HOST_SETTINGS_H
