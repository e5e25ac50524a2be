#include "LibMembership/zone_decision.h"

#include <array>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

template <typename table> struct versioned {
  table Value;
  int Version = 0;
};

/// A maintainer that decides by stale reads and by its own version of the
/// configuration.
struct steward {
  std::size_t Zone = 0;
  std::uint64_t ConfigurationVersion = 1;
  versioned<fleet_table> Fleet;
  versioned<zone_table> Table;
  zone_grant Grant;
};

} // namespace

/// Target budgets of three zones, which change with each version.
static std::uint32_t target(std::uint64_t Version, std::size_t Zone) {
  static constexpr std::array<std::array<std::uint32_t, 3>, 4> Targets = {
      {{500'000, 300'000, 200'000},
       {100'000, 100'000, 800'000},
       {300'000, 700'000, 0},
       {400'000, 200'000, 400'000}}};
  return Targets[Version % Targets.size()][Zone];
}

static zone_facts factsOf(const steward &Steward) {
  zone_facts Facts;
  Facts.Self = "none";
  Facts.IsSteward = true;
  Facts.ConfigurationVersion = Steward.ConfigurationVersion;
  Facts.TargetBudget = target(Steward.ConfigurationVersion, Steward.Zone);
  Facts.Grant = Steward.Grant;
  return Facts;
}

TEST_CASE("the budgets of zones never exceed their grants or, together, the "
          "total, with stale readers of different configurations") {
  rc::prop("any interleaving of reads and conditional writes", [] {
    versioned<fleet_table> Fleet;
    std::array<versioned<zone_table>, 3> Tables;
    std::vector<steward> Stewards(9);
    for (std::size_t Index = 0; Index < Stewards.size(); ++Index)
      Stewards[Index].Zone = Index % 3;
    const std::array<std::string, 3> Names = {"a", "b", "c"};
    const auto Events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        400, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 9)));
    for (const auto &[Event, Index] : Events) {
      steward &Steward = Stewards[static_cast<std::size_t>(Index)];
      versioned<zone_table> &Table = Tables[Steward.Zone];
      if (Event == 0 && Steward.ConfigurationVersion < 6)
        ++Steward.ConfigurationVersion;
      if (Event == 1 || Event == 2)
        Steward.Fleet = Fleet;
      if (Event == 3 || Event == 4)
        Steward.Table = Table;
      if (Event == 5 || Event == 6) {
        const auto Next = decideFleet(Steward.Fleet.Value, Names[Steward.Zone],
                                      Steward.Table.Value, factsOf(Steward));
        const bool Written = Next && Steward.Fleet.Version == Fleet.Version;
        if (Written)
          Fleet = {*Next, Fleet.Version + 1};
        // The maintainer knows the grant that it last read or wrote.
        Steward.Fleet = Written ? Fleet : Steward.Fleet;
        Steward.Grant = Steward.Fleet.Value.Zones[Names[Steward.Zone]];
      }
      if (Event >= 7) {
        const zone_decision Decision =
            decideZone(Steward.Table.Value, factsOf(Steward));
        if (Decision.Changed && Steward.Table.Version == Table.Version)
          Table = {Decision.Next, Table.Version + 1};
      }
      std::uint32_t Sum = 0;
      std::uint32_t Grants = Fleet.Value.Unallocated;
      for (std::size_t Zone = 0; Zone < Tables.size(); ++Zone) {
        const std::uint32_t Grant =
            Fleet.Value.Zones[Names[Zone]].PartsPerMillion;
        RC_ASSERT(Tables[Zone].Value.Budget <= Grant);
        Sum += Tables[Zone].Value.Budget;
        Grants += Grant;
      }
      RC_ASSERT(Sum <= WholePartsPerMillion);
      RC_ASSERT(Grants == WholePartsPerMillion);
    }
  });
}
