// Measures routing and residency policies against baselines, on a virtual
// clock. Usage: ExperimentPlacement [--json]
#include "placement_model.h"

#include <cstdio>
#include <string_view>
#include <utility>
#include <vector>

using namespace spindle;

static std::vector<placement_policy> policies() {
  return {
      {"residency+value", routing_policy::Residency, victim_policy::Value,
       false},
      {"residency+lru", routing_policy::Residency, victim_policy::Lru, false},
      {"least-loaded+lru", routing_policy::LeastLoaded, victim_policy::Lru,
       false},
      {"random+lru", routing_policy::Random, victim_policy::Lru, false},
      {"consistent-hash+lru", routing_policy::ConsistentHash,
       victim_policy::Lru, false},
      {"best static placement", routing_policy::Residency, victim_policy::Value,
       true},
  };
}

static std::vector<std::pair<std::string, placement_load>> loads() {
  placement_load Steady;
  placement_load Drifting = Steady;
  Drifting.DriftPerHour = 0.54 * 4;
  placement_load Overloaded = Steady;
  Overloaded.RequestsPerSecond *= 1.5;
  return {{"steady", Steady},
          {"drifting, four times 54%/hour", Drifting},
          {"overloaded, 120% of the engines", Overloaded}};
}

static void printRow(const std::string &Name, const placement_result &Result) {
  std::printf("%-22s %8llu %6llu %6llu %8.3f %9.1f %8.3f %8.2f %7.2f %7.2f "
              "%7.2f %8.1f %6.2f\n",
              Name.c_str(), static_cast<unsigned long long>(Result.Requests),
              static_cast<unsigned long long>(Result.Refused),
              static_cast<unsigned long long>(Result.Loads),
              Result.StalledShare, Result.StallTotal, Result.StallPerRequest,
              Result.StallP99, Result.WaitP50, Result.WaitP99,
              Result.TokensPerStep, Result.TokensPerSecond,
              Result.CrossZoneShare);
}

static void printJson(const std::string &Load, const std::string &Policy,
                      const placement_result &Result) {
  std::printf("{\"load\":\"%s\",\"policy\":\"%s\",\"requests\":%llu,"
              "\"refused\":%llu,\"loads\":%llu,\"stalledShare\":%.4f,"
              "\"stallSeconds\":%.2f,\"stallP99Seconds\":%.3f,"
              "\"waitP50Seconds\":%.3f,\"waitP99Seconds\":%.3f,"
              "\"tokensPerStep\":%.3f,\"tokensPerSecond\":%.2f,"
              "\"crossZoneShare\":%.3f}\n",
              Load.c_str(), Policy.c_str(),
              static_cast<unsigned long long>(Result.Requests),
              static_cast<unsigned long long>(Result.Refused),
              static_cast<unsigned long long>(Result.Loads),
              Result.StalledShare, Result.StallTotal, Result.StallP99,
              Result.WaitP50, Result.WaitP99, Result.TokensPerStep,
              Result.TokensPerSecond, Result.CrossZoneShare);
}

int main(int ArgumentCount, char **Arguments) {
  const bool AsJson =
      ArgumentCount > 1 && std::string_view(Arguments[1]) == "--json";
  for (const auto &[LoadName, Load] : loads()) {
    if (!AsJson)
      std::printf("\n%s\n%-22s %8s %6s %6s %8s %9s %8s %8s %7s %7s %7s %8s "
                  "%6s\n",
                  LoadName.c_str(), "policy", "requests", "refus.", "loads",
                  "stalled", "stall s", "s/req", "p99 s", "wait50", "wait99",
                  "tok/stp", "tok/s", "xzone");
    for (const placement_policy &Policy : policies()) {
      const placement_result Result = runPlacement(Load, Policy);
      if (AsJson)
        printJson(LoadName, Policy.Name, Result);
      else
        printRow(Policy.Name, Result);
    }
  }
  return 0;
}
