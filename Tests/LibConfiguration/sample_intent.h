#ifndef PARSLEYSPINDLE_TESTS_LIBCONFIGURATION_SAMPLE_INTENT_H
#define PARSLEYSPINDLE_TESTS_LIBCONFIGURATION_SAMPLE_INTENT_H

#include "LibConfiguration/intent.h"
#include "LibCore/digest.h"

#include <string>

namespace spindle {

/// A small valid intent, with \p Adapters adapters of two versions.
inline intent sampleIntent(std::uint32_t Adapters = 3) {
  intent Intent;
  Intent.Zones = {{"gent-a", "flanders", 2}, {"leuven-b", "flanders", 1}};
  Intent.Customers = {{"aalst", {100}, {1000}}, {"mechelen", {200}, {2000}}};
  Intent.Customers[1].WhenIsolated = isolated_key_policy::Refuse;
  Intent.Keys = {{"aalst-1", "aalst", sha256Hex("key one")},
                 {"mechelen-1", "mechelen", sha256Hex("key two")}};
  for (std::uint32_t Number = 1; Number <= Adapters; ++Number) {
    const std::string Name = "pickler-" + std::to_string(Number);
    const std::string Customer = Number % 2 == 0 ? "mechelen" : "";
    Intent.Adapters.push_back({Name, "1", "deksel-llm", Customer, false});
    Intent.Adapters.push_back({Name, "2", "deksel-llm", Customer, true});
  }
  upstream_declaration Engine;
  Engine.Name = "deksel-llm-1";
  Engine.Address = {"127.0.0.1", 9101};
  Engine.Zone = "gent-a";
  Engine.Model = "deksel-llm";
  upstream_declaration Service;
  Service.Name = "deksel-shop-1";
  Service.Kind = upstream_kind::Service;
  Service.Address = {"127.0.0.1", 9201};
  Service.Zone = "leuven-b";
  Intent.Upstreams = {Engine, Service};
  route_declaration Model;
  Model.Name = "chat";
  Model.Kind = route_kind::Model;
  Model.PathPrefix = "/v1";
  route_declaration Shop;
  Shop.Name = "stock";
  Shop.PathPrefix = "/v1/stock";
  Shop.Upstreams = {"deksel-shop-1"};
  Shop.Idempotent = true;
  Intent.Routes = {Model, Shop};
  return Intent;
}

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBCONFIGURATION_SAMPLE_INTENT_H
