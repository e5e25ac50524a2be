#include "spindlectl/change_flow.h"

#include "LibCore/result_code.h"
#include "LibMembership/version_confirmation.h"
#include "spindlectl/fleet_state.h"
#include "spindlectl/text_table.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::size_t ChangesShown = 50;
static constexpr milliseconds PauseBetweenLooks{250};

void showChanges(operator_context &Context,
                 const std::vector<intent_change> &Changes) {
  if (Context.Json) {
    json List = json::array();
    for (const intent_change &Change : Changes)
      List.push_back(describeChange(Change));
    Context.Out << json{{"changes", List}}.dump() << "\n";
    return;
  }
  for (std::size_t Index = 0; Index < std::min(Changes.size(), ChangesShown);
       ++Index)
    Context.Out << "  " << describeChange(Changes[Index]) << "\n";
  if (Changes.size() > ChangesShown)
    Context.Out << "  and " << Changes.size() - ChangesShown << " more\n";
}

std::optional<configuration_head>
confirmAndApply(operator_context &Context, const configuration_plan &Plan) {
  showChanges(Context, Plan.Changes);
  if (!Context.Confirm("Put this in force?"))
    return std::nullopt;
  return confirmPlan(
      Context.Platform, Plan,
      {Context.Operator, Context.Clock.wallNow(), Context.Sleep});
}

static std::string_view nameOf(confirmation_state State) {
  switch (State) {
  case confirmation_state::Confirmed:
    return "confirmed";
  case confirmation_state::Missing:
    return "missing";
  case confirmation_state::LeaseExpired:
    return "past its lease, may be cut off";
  case confirmation_state::Gone:
    return "gone";
  }
  return "missing";
}

static void report(operator_context &Context, std::uint64_t Version,
                   const std::vector<host_confirmation> &Hosts,
                   bool IsInForce) {
  if (Context.Json) {
    json List = json::array();
    for (const host_confirmation &Host : Hosts)
      List.push_back({{"host", Host.Host},
                      {"zone", Host.Zone},
                      {"state", nameOf(Host.State)},
                      {"version", Host.Version}});
    Context.Out << json{{"version", Version},
                        {"inForce", IsInForce},
                        {"hosts", List}}
                       .dump()
                << "\n";
    return;
  }
  text_table Table{{"HOST", "ZONE", "VERSION", "STATE"}, {}};
  for (const host_confirmation &Host : Hosts)
    Table.Rows.push_back({Host.Host, Host.Zone, std::to_string(Host.Version),
                          std::string(nameOf(Host.State))});
  Context.Out << writeTable(Table) << "version " << Version
              << (IsInForce ? " is in force\n"
                            : " is accepted, but not in force everywhere yet: "
                              "see the hosts that are not confirmed\n");
}

exit_code waitUntilInForce(operator_context &Context, std::uint64_t Version,
                           const std::vector<zone_declaration> &Zones,
                           std::optional<seconds> IsolationLimit) {
  version_confirmation Confirmation(Version, Context.Lease);
  const time_point Until = Context.Clock.now() + Context.WaitLimit;
  bool IsInForce = false;
  while (!IsInForce) {
    try {
      const time_point SentAt = Context.Clock.now();
      const fleet_state Fleet = readFleetState(Context.Platform, Zones);
      Confirmation.observe(Fleet.Leases, Fleet.Machines, SentAt,
                           Context.Clock.now());
      IsInForce = Confirmation.inForce(IsolationLimit);
    } catch (const spindle_error &Error) {
      Context.Errors << "spindlectl: " << Error.what() << "\n";
    }
    if (IsInForce || Context.Clock.now() >= Until)
      break;
    Context.Sleep(PauseBetweenLooks);
  }
  report(Context, Version, Confirmation.hosts(), IsInForce);
  return IsInForce ? exit_code::Done : exit_code::NotInForceYet;
}

} // namespace spindle
