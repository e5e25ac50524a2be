#include "LibConfiguration/configuration_plan.h"
#include "LibCore/result_code.h"
#include "spindlectl/commands.h"
#include "spindlectl/fleet_state.h"

#include <ostream>

namespace spindle {

static constexpr milliseconds PauseBetweenLooks{250};

/// Sets the request in the host's lease; the host may be renewing meanwhile.
static void requestDrain(operator_context &Context, const std::string &Host,
                         const fleet_state &Fleet) {
  lease_record Lease = Fleet.Leases.at(Host);
  if (Lease.DrainRequested)
    return;
  Lease.DrainRequested = true;
  try {
    Context.Platform.Update(leaseKind(Lease.Zone), Host,
                            Fleet.LeaseVersions.at(Host), writeLease(Lease));
  } catch (const spindle_error &Error) {
    const bool MayHaveRenewed =
        Error.code() == result_code::PlatformConflict ||
        Error.code() == result_code::PlatformUnavailable;
    if (!MayHaveRenewed)
      throw;
  }
}

exit_code drainHost(operator_context &Context, const std::string &Host) {
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  const std::vector<zone_declaration> Zones =
      Stored ? Stored->Intent.Zones : std::vector<zone_declaration>{};
  if (readFleetState(Context.Platform, Zones).Leases.count(Host) == 0)
    throw spindle_error(result_code::BadRequest,
                        "no host is called \"" + Host + "\"");
  if (!Context.Confirm("Ask host " + Host + " to drain and stop?"))
    return exit_code::Refused;
  const time_point Until = Context.Clock.now() + Context.WaitLimit;
  while (true) {
    const fleet_state Fleet = readFleetState(Context.Platform, Zones);
    const auto Lease = Fleet.Leases.find(Host);
    if (Lease == Fleet.Leases.end() || Lease->second.Stopped) {
      Context.Out << "host " << Host << " has stopped\n";
      return exit_code::Done;
    }
    if (Context.Clock.now() >= Until) {
      Context.Out << "host " << Host
                  << (Lease->second.Draining
                          ? " is draining: requests are still running\n"
                          : " has not answered yet\n");
      return exit_code::NotInForceYet;
    }
    requestDrain(Context, Host, Fleet);
    Context.Sleep(PauseBetweenLooks);
  }
}

} // namespace spindle
