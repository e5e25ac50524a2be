#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ORDER_HANDLER_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ORDER_HANDLER_H

#include "LibHTTP/http_client.h"
#include "LibHTTP/http_server.h"
#include "engine_stand_in/engine_batch.h"
#include "engine_stand_in/engine_switches.h"

#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// Carries out the orders to load and unload adapters. Thread-safe.
class order_handler {
public:
  /// \p Batch and \p Switches must outlive this object.
  /// \param WeightStore the platform stand-in that admits loads, if any.
  /// \param LoadTime how long a load takes without one.
  order_handler(engine_batch &Batch, engine_switches &Switches,
                std::optional<endpoint> WeightStore, milliseconds LoadTime);

  /// Answers once the adapter serves or its load has failed. Blocks the fiber.
  void load(http_exchange &Exchange, const nlohmann::json &Body);
  void unload(http_exchange &Exchange, const nlohmann::json &Body);

private:
  std::optional<milliseconds> admittedLoadTime();
  bool fetchWeights();

  engine_batch &Batch;
  engine_switches &Switches;
  const std::optional<endpoint> WeightStore;
  const milliseconds LoadTime;
  http_client Client;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ORDER_HANDLER_H
