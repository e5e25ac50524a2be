#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_DEPLOYMENT_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_DEPLOYMENT_H

// The configuration of a small deployment in the platform's form.

#include <nlohmann/json.hpp>
#include <string>

namespace review {

inline const std::string HostName = "ficu95.example";
inline const std::string StreamPath = "/lohu930/2f";
inline const std::string Key = "i9n73hh2b9wu3fexd9dn";

/// One stream route to one service of model engines, and one customer without
/// a quota.
inline nlohmann::json makeConfiguration(const nlohmann::json &Engine,
                                        bool CanResume = false) {
  nlohmann::json Route = {{"name", "lohu930"},
                          {"host", HostName},
                          {"path-prefix", "/lohu930/"},
                          {"kind", "stream"},
                          {"service", "dele69a"},
                          {"attempts", CanResume ? 2 : 1},
                          {"timeout-ms", 5'000},
                          {"slo-ms", 1'000},
                          {"gap-slo-ms", 500},
                          {"priority", 1},
                          {"sticky", true}};
  if (CanResume)
    Route["can-resume"] = true;
  nlohmann::json Service = {{"name", "dele69a"},
                            {"health-path", "/health"},
                            {"max-conns", 660},
                            {"engine", Engine}};
  nlohmann::json Configuration;
  Configuration["version"] = 2;
  Configuration["routes"] = nlohmann::json::array({Route});
  Configuration["services"] = nlohmann::json::array({Service});
  Configuration["limits"] = {{"max-header-bytes", 16'384},
                             {"max-body-bytes", 4'194'304},
                             {"header-timeout-ms", 5'000},
                             {"idle-timeout-ms", 30'000}};
  nlohmann::json Tenant = {
      {"name", "hule930"}, {"api-keys", nlohmann::json::array({Key})},
      {"rate-per-s", 0},   {"burst", 0},
      {"unit", "tokens"},  {"plain-tokens", 200}};
  Configuration["tenants"] = nlohmann::json::array({Tenant});
  return Configuration;
}

inline nlohmann::json makeModel(const std::string &Name, double Megabytes,
                                int Adapters, double AdapterMegabytes) {
  return {{"name", Name},
          {"weights-mb", Megabytes},
          {"load-time-s", 1.9},
          {"adapters", Adapters},
          {"adapter-mb", AdapterMegabytes}};
}

inline nlohmann::json makeEngine(const nlohmann::json &Models, double Megabytes,
                                 int AdapterSlots) {
  return {{"models", Models},
          {"weights-mb", Megabytes},
          {"adapter-slots", AdapterSlots},
          {"slots", 48},
          {"kv-capacity", 255'303},
          {"loads-per-s", 40},
          {"load-time-s", 1.9}};
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_DEPLOYMENT_H
