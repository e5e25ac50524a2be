#include "LibConfiguration/intent_text.h"

#include "LibConfiguration/intent_fields.h"
#include "LibConfiguration/validate_intent.h"

#include <algorithm>

namespace spindle {

namespace {

/// An intent as an operator writes it, with adapters in groups.
struct written_intent {
  std::vector<zone_declaration> Zones;
  std::vector<customer_declaration> Customers;
  std::vector<key_grant> Keys;
  std::vector<adapter_group> Groups;
  std::vector<upstream_declaration> Upstreams;
  std::vector<route_declaration> Routes;
  policy_declaration Policy;
};

} // namespace

static const field_table<written_intent> &intentFields() {
  using record = written_intent;
  static const field_table<record> Table = {
      recordListField<record>("zones", &record::Zones, zoneFields(),
                              "The availability zones."),
      recordListField<record>("customers", &record::Customers, customerFields(),
                              "The customers."),
      recordListField<record>("keys", &record::Keys, keyFields(),
                              "The granted keys; left out: those in force."),
      recordListField<record>("adapters", &record::Groups, adapterGroupFields(),
                              "The adapters."),
      recordListField<record>("upstreams", &record::Upstreams, upstreamFields(),
                              "Engines and services."),
      recordListField<record>("routes", &record::Routes, routeFields(),
                              "Which upstreams serve which paths."),
      sectionField<record>("policy", &record::Policy, policyFields(),
                           "How the system decides."),
  };
  return Table;
}

static void checkGroup(const adapter_group &Group,
                       const field_context &Context) {
  const bool IsOne = !Group.Name.empty();
  const bool IsMany = !Group.Prefix.empty() && Group.Count > 0;
  if (IsOne == IsMany || (IsOne && (!Group.Prefix.empty() || Group.Count > 0)))
    Context.add("needs either a name or both a prefix and a count");
  const bool HasDefault =
      Group.DefaultVersion.empty() ||
      std::find(Group.Versions.begin(), Group.Versions.end(),
                Group.DefaultVersion) != Group.Versions.end();
  if (!HasDefault)
    Context.at("default").add("is not among the versions");
}

/// Expands the adapter groups of the written form; \p GroupOf receives the
/// index of the group of each adapter.
static intent expand(written_intent Written,
                     std::vector<std::size_t> &GroupOf) {
  intent Intent;
  Intent.Zones = std::move(Written.Zones);
  Intent.Customers = std::move(Written.Customers);
  Intent.Keys = std::move(Written.Keys);
  Intent.Upstreams = std::move(Written.Upstreams);
  Intent.Routes = std::move(Written.Routes);
  Intent.Policy = std::move(Written.Policy);
  for (std::size_t Index = 0; Index < Written.Groups.size(); ++Index)
    for (adapter_declaration &Adapter : expandGroup(Written.Groups[Index])) {
      Intent.Adapters.push_back(std::move(Adapter));
      GroupOf.push_back(Index);
    }
  return Intent;
}

/// Replaces the index of an adapter by that of its group, since the text
/// contains the groups.
static std::string groupPath(const std::string &Field,
                             const std::vector<std::size_t> &GroupOf) {
  static const std::string Start = "adapters[";
  if (Field.compare(0, Start.size(), Start) != 0)
    return Field;
  const std::size_t Index = std::stoul(Field.substr(Start.size()));
  const std::string Rest = Field.substr(Field.find(']'));
  return Start + std::to_string(GroupOf.at(Index)) + Rest;
}

static intent parse(std::string_view Text, std::string_view FileName,
                    const std::vector<key_grant> *KeysInForce) {
  const nlohmann::json Root =
      parseJsonText(Text, FileName, result_code::InvalidIntent);
  const json_places Places = findPlaces(Text);
  std::vector<input_problem> Problems = Places.Duplicates;
  const field_context Context{"", Problems};
  written_intent Written = readRecord(Root, intentFields(), Context);
  for (std::size_t Index = 0; Index < Written.Groups.size(); ++Index)
    checkGroup(Written.Groups[Index], Context.at("adapters").at(Index));
  intent Intent;
  if (Problems.empty()) {
    std::vector<std::size_t> GroupOf;
    Intent = expand(std::move(Written), GroupOf);
    if (KeysInForce != nullptr && !Root.contains("keys"))
      Intent.Keys = *KeysInForce;
    for (input_problem &Problem : validateIntent(Intent)) {
      Problem.Field = groupPath(Problem.Field, GroupOf);
      // Each adapter of a group has the same problem.
      if (Problems.empty() || Problems.back() != Problem)
        Problems.push_back(std::move(Problem));
    }
  }
  if (!Problems.empty())
    throw spindle_error(result_code::InvalidIntent,
                        describeProblems(Problems, FileName, Text, Places));
  return Intent;
}

intent parseIntent(std::string_view Text, std::string_view FileName) {
  return parse(Text, FileName, nullptr);
}

intent parseIntent(std::string_view Text, std::string_view FileName,
                   const std::vector<key_grant> &KeysInForce) {
  return parse(Text, FileName, &KeysInForce);
}

template <typename record> static void sortByName(std::vector<record> &List) {
  std::sort(List.begin(), List.end(),
            [](const record &A, const record &B) { return A.Name < B.Name; });
}

std::string writeIntent(intent Intent) {
  sortByName(Intent.Zones);
  sortByName(Intent.Customers);
  sortByName(Intent.Keys);
  sortByName(Intent.Upstreams);
  sortByName(Intent.Routes);
  std::sort(Intent.Adapters.begin(), Intent.Adapters.end(),
            [](const adapter_declaration &A, const adapter_declaration &B) {
              return std::tie(A.Name, A.Version) < std::tie(B.Name, B.Version);
            });
  written_intent Written;
  Written.Zones = std::move(Intent.Zones);
  Written.Customers = std::move(Intent.Customers);
  Written.Keys = std::move(Intent.Keys);
  Written.Groups = joinAdapters(Intent.Adapters);
  Written.Upstreams = std::move(Intent.Upstreams);
  Written.Routes = std::move(Intent.Routes);
  Written.Policy = std::move(Intent.Policy);
  return writeRecord(Written, intentFields()).dump();
}

intent readIntentPart(std::string_view Text) {
  const nlohmann::json Root = parseJsonText(Text, "configuration part",
                                            result_code::ConfigurationCorrupt);
  std::vector<input_problem> Problems;
  written_intent Written =
      readRecord(Root, intentFields(), field_context{"", Problems});
  if (!Problems.empty())
    throw spindle_error(result_code::ConfigurationCorrupt,
                        "configuration part: " + Problems.front().Field + ": " +
                            Problems.front().Message);
  std::vector<std::size_t> GroupOf;
  return expand(std::move(Written), GroupOf);
}

std::string printIntentReference() {
  std::vector<std::pair<field_description, std::string>> Lines;
  describeTable(intentFields(), "", Lines);
  return writeReference(Lines);
}

} // namespace spindle
