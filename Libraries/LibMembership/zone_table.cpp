#include "LibMembership/zone_table.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

[[noreturn]] static void reject(std::string_view What,
                                const json::exception &Error) {
  throw spindle_error(result_code::Internal,
                      std::string(What) + ": " + Error.what());
}

std::string writeZoneTable(const zone_table &Table) {
  json Hosts = json::object();
  for (const auto &[Name, Share] : Table.Hosts)
    Hosts[Name] = {{"ppm", Share.PartsPerMillion},
                   {"generation", Share.Generation},
                   {"incarnation", Share.Incarnation},
                   {"term", Share.ShareTerm}};
  json Engines = json::object();
  for (const auto &[Name, Claim] : Table.Engines)
    Engines[Name] = {{"owner", Claim.Owner},
                     {"incarnation", Claim.Incarnation},
                     {"term", Claim.LeaseTerm},
                     {"fence", Claim.Fence}};
  return json{{"configurationVersion", Table.ConfigurationVersion},
              {"budget", Table.Budget},
              {"unallocated", Table.Unallocated},
              {"hosts", Hosts},
              {"engines", Engines},
              {"nonce", Table.Nonce}}
      .dump();
}

zone_table readZoneTable(std::string_view Text) {
  try {
    const json Value = parseBoundedJson(Text);
    zone_table Table;
    Table.ConfigurationVersion =
        Value.at("configurationVersion").get<std::uint64_t>();
    Table.Budget = Value.at("budget").get<std::uint32_t>();
    Table.Unallocated = Value.at("unallocated").get<std::uint32_t>();
    for (const auto &[Name, Share] : Value.at("hosts").items())
      Table.Hosts[Name] = {Share.at("ppm").get<std::uint32_t>(),
                           Share.at("generation").get<std::uint64_t>(),
                           Share.at("incarnation").get<std::uint64_t>(),
                           Share.at("term").get<std::uint64_t>()};
    for (const auto &[Name, Claim] : Value.at("engines").items())
      Table.Engines[Name] = {Claim.at("owner").get<std::string>(),
                             Claim.at("incarnation").get<std::uint64_t>(),
                             Claim.at("term").get<std::uint64_t>(),
                             Claim.at("fence").get<std::uint64_t>()};
    Table.Nonce = Value.at("nonce").get<std::string>();
    return Table;
  } catch (const json::exception &Error) {
    reject("zone table", Error);
  }
}

std::string writeZoneGrants(const zone_grants &Table) {
  json Zones = json::object();
  for (const auto &[Name, Grant] : Table.Zones)
    Zones[Name] = {{"ppm", Grant.PartsPerMillion},
                   {"configurationVersion", Grant.ConfigurationVersion}};
  return json{{"unallocated", Table.Unallocated},
              {"zones", Zones},
              {"nonce", Table.Nonce}}
      .dump();
}

zone_grants readZoneGrants(std::string_view Text) {
  try {
    const json Value = parseBoundedJson(Text);
    zone_grants Table;
    Table.Unallocated = Value.at("unallocated").get<std::uint32_t>();
    for (const auto &[Name, Grant] : Value.at("zones").items())
      Table.Zones[Name] = {
          Grant.at("ppm").get<std::uint32_t>(),
          Grant.at("configurationVersion").get<std::uint64_t>()};
    Table.Nonce = Value.at("nonce").get<std::string>();
    return Table;
  } catch (const json::exception &Error) {
    reject("fleet table", Error);
  }
}

} // namespace spindle
