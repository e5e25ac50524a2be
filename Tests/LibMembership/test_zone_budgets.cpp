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
struct maintainer {
  std::size_t Zone = 0;
  std::uint64_t ConfigurationVersion = 1;
  versioned<zone_grants> Fleet;
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

static zone_decision_input inputFor(const maintainer &Maintainer) {
  zone_decision_input Input;
  Input.Self = "none";
  Input.IsMaintainer = true;
  Input.ConfigurationVersion = Maintainer.ConfigurationVersion;
  Input.TargetBudget = target(Maintainer.ConfigurationVersion, Maintainer.Zone);
  Input.Grant = Maintainer.Grant;
  return Input;
}

TEST_CASE("the budgets of zones never exceed their grants or, together, the "
          "total, with stale readers of different configurations") {
  rc::prop("any interleaving of reads and conditional writes", [] {
    versioned<zone_grants> Fleet;
    std::array<versioned<zone_table>, 3> Tables;
    std::vector<maintainer> Maintainers(9);
    for (std::size_t Index = 0; Index < Maintainers.size(); ++Index)
      Maintainers[Index].Zone = Index % 3;
    const std::array<std::string, 3> Names = {"a", "b", "c"};
    const auto Events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        400, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 9)));
    for (const auto &[Event, Index] : Events) {
      maintainer &Maintainer = Maintainers[static_cast<std::size_t>(Index)];
      versioned<zone_table> &Table = Tables[Maintainer.Zone];
      if (Event == 0 && Maintainer.ConfigurationVersion < 6)
        ++Maintainer.ConfigurationVersion;
      if (Event == 1 || Event == 2)
        Maintainer.Fleet = Fleet;
      if (Event == 3 || Event == 4)
        Maintainer.Table = Table;
      if (Event == 5 || Event == 6) {
        const auto Next =
            decideFleet(Maintainer.Fleet.Value, Names[Maintainer.Zone],
                        Maintainer.Table.Value, inputFor(Maintainer));
        const bool Written = Next && Maintainer.Fleet.Version == Fleet.Version;
        if (Written)
          Fleet = {*Next, Fleet.Version + 1};
        // The maintainer knows the grant that it last read or wrote.
        Maintainer.Fleet = Written ? Fleet : Maintainer.Fleet;
        Maintainer.Grant = Maintainer.Fleet.Value.Zones[Names[Maintainer.Zone]];
      }
      if (Event >= 7) {
        const zone_decision Decision =
            decideZone(Maintainer.Table.Value, inputFor(Maintainer));
        if (Decision.Changed && Maintainer.Table.Version == Table.Version)
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
      RC_ASSERT(Sum <= TotalPartsPerMillion);
      RC_ASSERT(Grants == TotalPartsPerMillion);
    }
  });
}
