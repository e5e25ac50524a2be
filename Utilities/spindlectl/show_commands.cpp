#include "LibConfiguration/configuration_plan.h"
#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "LibMembership/zone_table.h"
#include "spindlectl/commands.h"
#include "spindlectl/fleet_state.h"
#include "spindlectl/text_table.h"

#include <ctime>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::size_t AuditEntriesShown = 50;

static std::string cellOf(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// Shows a list of objects; the columns are the fields that any of them has,
/// the name first.
static std::string tableOf(const json &List) {
  std::set<std::string> Fields;
  for (const json &Element : List)
    for (const auto &[Name, Unused] : Element.items())
      Fields.insert(Name);
  text_table Table;
  if (Fields.erase("name") != 0)
    Table.Header.push_back("name");
  Table.Header.insert(Table.Header.end(), Fields.begin(), Fields.end());
  for (const json &Element : List) {
    std::vector<std::string> Row;
    for (const std::string &Field : Table.Header)
      Row.push_back(Element.contains(Field) ? cellOf(Element.at(Field)) : "-");
    Table.Rows.push_back(std::move(Row));
  }
  return writeTable(Table);
}

exit_code showIntent(operator_context &Context, const std::string &What) {
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  const json Whole =
      json::parse(writeIntent(Stored ? Stored->Intent : intent{}));
  if (What.empty() || What == "intent") {
    Context.Out << Whole.dump(2) << "\n";
    return exit_code::Done;
  }
  static const std::set<std::string> Sections = {
      "zones",     "customers", "keys",  "adapters",
      "upstreams", "routes",    "policy"};
  if (Sections.count(What) == 0)
    throw spindle_error(result_code::BadRequest,
                        "\"" + What + "\" is not a part of the intent");
  const json Section = Whole.value(What, json::array());
  if (Context.Json || !Section.is_array())
    Context.Out << Section.dump(2) << "\n";
  else
    Context.Out << tableOf(Section);
  return exit_code::Done;
}

static std::string stateOf(const std::string &Host, const fleet_state &Fleet,
                           const operator_context &Context) {
  const auto Found = Fleet.Leases.find(Host);
  if (Found == Fleet.Leases.end())
    return "no lease";
  const lease_record &Lease = Found->second;
  const std::int64_t Age =
      Context.Clock.wallNow().Milliseconds - Lease.RenewedAt.Milliseconds;
  if (Lease.Stopped)
    return "stopped";
  if (Age > Context.Lease.Duration.count())
    return "not renewed for " + std::to_string(Age / 1'000) + " s";
  if (Lease.Draining)
    return "draining";
  return Lease.DrainRequested ? "asked to drain" : "live";
}

/// Adds the entries of a zone's table to the rows of its hosts.
static void addTables(operator_context &Context,
                      const std::vector<zone_declaration> &Zones, json &Hosts) {
  for (const zone_declaration &Zone : Zones) {
    const std::optional<platform_object> Object =
        Context.Platform.Get(platform_kind::ZoneTables, Zone.Name);
    if (!Object)
      continue;
    const zone_table Table = readZoneTable(Object->Body);
    for (json &Host : Hosts) {
      const std::string Name = Host.at("name").get<std::string>();
      const auto Share = Table.Hosts.find(Name);
      if (Share != Table.Hosts.end())
        Host["sharePpm"] = Share->second.PartsPerMillion;
      for (const auto &[Engine, Claim] : Table.Engines)
        if (Claim.Owner == Name)
          Host["engines"].push_back(Engine);
    }
  }
}

exit_code showStatus(operator_context &Context) {
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  if (!Stored) {
    Context.Out << (Context.Json ? "{\"version\":0,\"hosts\":[]}"
                                 : "no configuration is in force yet")
                << "\n";
    return exit_code::Done;
  }
  const std::vector<zone_declaration> &Zones = Stored->Intent.Zones;
  const fleet_state Fleet = readFleetState(Context.Platform, Zones);
  std::set<std::string> Names = Fleet.Machines;
  for (const auto &[Name, Lease] : Fleet.Leases)
    Names.insert(Name);
  json Hosts = json::array();
  for (const std::string &Name : Names) {
    json Host = {{"name", Name}, {"state", stateOf(Name, Fleet, Context)}};
    const auto Lease = Fleet.Leases.find(Name);
    if (Lease != Fleet.Leases.end()) {
      Host["zone"] = Lease->second.Zone;
      Host["version"] = Lease->second.ConfigurationVersion;
    }
    Hosts.push_back(std::move(Host));
  }
  addTables(Context, Zones, Hosts);
  if (Context.Json)
    Context.Out
        << json{{"version", Stored->Head.Version}, {"hosts", Hosts}}.dump()
        << "\n";
  else
    Context.Out << "configuration version " << Stored->Head.Version << "\n"
                << tableOf(Hosts);
  return exit_code::Done;
}

static std::string timeOf(wall_time At) {
  const std::time_t Seconds = At.Milliseconds / 1'000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

exit_code showAudit(operator_context &Context) {
  const std::vector<audit_entry> Entries =
      readAudit(Context.Platform, AuditEntriesShown);
  json List = json::array();
  text_table Table{{"VERSION", "TIME", "OPERATOR", "CHANGES"}, {}};
  for (const audit_entry &Entry : Entries) {
    List.push_back({{"version", Entry.Version},
                    {"time", timeOf(Entry.At)},
                    {"operator", Entry.Operator},
                    {"summary", Entry.Summary},
                    {"changes", Entry.Changes}});
    Table.Rows.push_back({std::to_string(Entry.Version), timeOf(Entry.At),
                          Entry.Operator, Entry.Summary});
  }
  Context.Out << (Context.Json ? List.dump() + "\n" : writeTable(Table));
  return exit_code::Done;
}

} // namespace spindle
