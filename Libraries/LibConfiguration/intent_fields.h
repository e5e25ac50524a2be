#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_FIELDS_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_FIELDS_H

#include "LibConfiguration/intent.h"
#include "LibSettings/field_table.h"

namespace spindle {

/// Adapters that differ only in name and version, as written by an operator:
/// either one adapter with "name", or several with "prefix" and "count", whose
/// names are the prefix followed by 1..count.
struct adapter_group {
  std::string Name;
  std::string Prefix;
  std::uint32_t Count = 0;
  std::vector<std::string> Versions;
  std::string DefaultVersion;
  std::string Model;
  std::string Customer;
};

/// The field tables used to read, write and compare intents.
const field_table<zone_declaration> &zoneFields();
const field_table<customer_declaration> &customerFields();
const field_table<key_grant> &keyFields();
const field_table<adapter_group> &adapterGroupFields();
const field_table<upstream_declaration> &upstreamFields();
const field_table<route_declaration> &routeFields();
const field_table<policy_declaration> &policyFields();

/// Lists the adapters of a group.
std::vector<adapter_declaration> expandGroup(const adapter_group &Group);
/// Joins adjacent versions of the same adapter into groups.
std::vector<adapter_group>
joinAdapters(const std::vector<adapter_declaration> &Adapters);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_FIELDS_H
