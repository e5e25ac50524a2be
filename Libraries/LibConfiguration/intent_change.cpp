#include "LibConfiguration/intent_change.h"

#include "LibConfiguration/intent_fields.h"

#include <algorithm>
#include <map>

namespace spindle {

static constexpr std::size_t ChangesInSummary = 3;
static constexpr std::size_t DetailLimit = 120;

template <typename record>
static std::string compareFields(const record &Before, const record &After,
                                 const field_table<record> &Table) {
  std::string Detail;
  for (const field<record> &Field : Table) {
    const nlohmann::json Old = Field.Write(Before);
    const nlohmann::json New = Field.Write(After);
    if (Old == New)
      continue;
    Detail += Detail.empty() ? "" : ", ";
    Detail += Field.Description.Name + ": " + Old.dump() + " -> " + New.dump();
  }
  return Detail;
}

/// Compares two lists of records by their names.
template <typename record>
static void
compareLists(std::string_view Subject, const std::vector<record> &Before,
             const std::vector<record> &After, const field_table<record> &Table,
             std::vector<intent_change> &Changes) {
  std::map<std::string_view, const record *> Old;
  for (const record &Record : Before)
    Old.emplace(Record.Name, &Record);
  for (const record &Record : After) {
    const auto Found = Old.find(Record.Name);
    if (Found == Old.end()) {
      Changes.push_back(
          {change_kind::Added, std::string(Subject), Record.Name, ""});
      continue;
    }
    std::string Detail = compareFields(*Found->second, Record, Table);
    if (!Detail.empty())
      Changes.push_back({change_kind::Changed, std::string(Subject),
                         Record.Name, std::move(Detail)});
    Old.erase(Found);
  }
  for (const auto &[Name, Record] : Old)
    Changes.push_back(
        {change_kind::Removed, std::string(Subject), std::string(Name), ""});
}

static std::map<std::string, const adapter_declaration *>
indexAdapters(const intent &Intent) {
  std::map<std::string, const adapter_declaration *> Index;
  for (const adapter_declaration &Adapter : Intent.Adapters)
    Index.emplace(Adapter.Name + "@" + Adapter.Version, &Adapter);
  return Index;
}

static std::string compareAdapter(const adapter_declaration &Before,
                                  const adapter_declaration &After) {
  std::string Detail;
  const auto Note = [&Detail](std::string_view Field, const std::string &Old,
                              const std::string &New) {
    if (Old != New)
      Detail += (Detail.empty() ? "" : ", ") + std::string(Field) + ": \"" +
                Old + "\" -> \"" + New + "\"";
  };
  Note("model", Before.Model, After.Model);
  Note("customer", Before.Customer, After.Customer);
  Note("default", Before.IsDefault ? "yes" : "no",
       After.IsDefault ? "yes" : "no");
  return Detail;
}

static void compareAdapters(const intent &Before, const intent &After,
                            std::vector<intent_change> &Changes) {
  auto Old = indexAdapters(Before);
  for (const auto &[Name, Adapter] : indexAdapters(After)) {
    const auto Found = Old.find(Name);
    if (Found == Old.end()) {
      Changes.push_back({change_kind::Added, "adapter", Name, ""});
      continue;
    }
    std::string Detail = compareAdapter(*Found->second, *Adapter);
    if (!Detail.empty())
      Changes.push_back(
          {change_kind::Changed, "adapter", Name, std::move(Detail)});
    Old.erase(Found);
  }
  for (const auto &[Name, Adapter] : Old)
    Changes.push_back({change_kind::Removed, "adapter", Name, ""});
}

std::vector<intent_change> compareIntents(const intent &Before,
                                          const intent &After) {
  std::vector<intent_change> Changes;
  compareLists("zone", Before.Zones, After.Zones, zoneFields(), Changes);
  compareLists("customer", Before.Customers, After.Customers, customerFields(),
               Changes);
  compareLists("key", Before.Keys, After.Keys, keyFields(), Changes);
  compareAdapters(Before, After, Changes);
  compareLists("upstream", Before.Upstreams, After.Upstreams, upstreamFields(),
               Changes);
  compareLists("route", Before.Routes, After.Routes, routeFields(), Changes);
  std::string Policy =
      compareFields(Before.Policy, After.Policy, policyFields());
  if (!Policy.empty())
    Changes.push_back({change_kind::Changed, "policy", "", std::move(Policy)});
  return Changes;
}

static std::string_view verbOf(const intent_change &Change) {
  const bool IsKey = Change.Subject == "key";
  switch (Change.Kind) {
  case change_kind::Added:
    return IsKey ? "granted" : "added";
  case change_kind::Removed:
    return IsKey ? "withdrawn" : "removed";
  case change_kind::Changed:
    return "changed";
  }
  return "changed";
}

std::string describeChange(const intent_change &Change) {
  std::string Line = Change.Subject;
  if (!Change.Name.empty())
    Line += " " + Change.Name;
  Line += " " + std::string(verbOf(Change));
  if (!Change.Detail.empty())
    Line += " (" + Change.Detail + ")";
  return Line;
}

std::string summarizeChanges(const std::vector<intent_change> &Changes) {
  std::string Summary;
  const std::size_t Shown = std::min(Changes.size(), ChangesInSummary);
  for (std::size_t Index = 0; Index < Shown; ++Index)
    Summary += (Index == 0 ? "" : "; ") +
               describeChange(Changes[Index]).substr(0, DetailLimit);
  if (Changes.size() > Shown)
    Summary += "; and " + std::to_string(Changes.size() - Shown) + " more";
  return Summary;
}

} // namespace spindle
