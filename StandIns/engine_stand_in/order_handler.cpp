#include "engine_stand_in/order_handler.h"

#include "LibStandIn/json_exchange.h"
#include "engine_stand_in/engine_error.h"

#include <string>

namespace spindle {

using nlohmann::json;

static constexpr milliseconds LoadPollInterval{10};

order_handler::order_handler(engine_batch &Batch, engine_switches &Switches,
                             std::optional<endpoint> WeightStore,
                             milliseconds LoadTime)
    : Batch(Batch), Switches(Switches), WeightStore(std::move(WeightStore)),
      LoadTime(LoadTime) {}

/// Returns how long a load takes; none if the weight store does not admit it.
std::optional<milliseconds> order_handler::admittedLoadTime() {
  if (!WeightStore)
    return LoadTime;
  try {
    const http_response Response =
        Client.call(*WeightStore, {"POST", "/weights/acquire", {}}, "", {},
                    connection_use::FreshOnce, StandInBodyLimitBytes);
    return milliseconds(
        json::parse(Response.Body).at("wait_ms").get<std::int64_t>());
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// Waits as long as a load takes; returns whether it succeeds.
bool order_handler::fetchWeights() {
  const std::optional<milliseconds> Time = admittedLoadTime();
  if (!Time)
    return false;
  const load_faults Drawn = Switches.drawForLoad();
  sleepFor(*Time + Drawn.Slow);
  return !Drawn.Fails;
}

static void respondOrder(http_exchange &Exchange, order_reply Order) {
  switch (Order) {
  case order_reply::Done:
  case order_reply::AlreadyThere:
    return respondText(Exchange, 200, "{}");
  case order_reply::OldFence:
    return respondEngineError(Exchange, 409, "old fencing number");
  case order_reply::NoSlot:
    return respondEngineError(Exchange, 400, "no free slot");
  case order_reply::NotLoaded:
    return respondEngineError(Exchange, 404, "adapter not loaded");
  }
}

void order_handler::load(http_exchange &Exchange, const json &Body) {
  const std::string Adapter = Body.value("lora_name", std::string());
  std::uint64_t Incarnation = 0;
  const order_reply Order = Batch.beginLoad(
      Adapter, Body.value("fence", std::uint64_t{0}), Incarnation);
  if (Order == order_reply::Done) {
    const bool Fetched = fetchWeights();
    if (Batch.finishLoad(Adapter, Incarnation, Fetched))
      return respondOrder(Exchange, Order);
    return respondEngineError(Exchange, 500, "the load failed");
  }
  if (Order != order_reply::AlreadyThere)
    return respondOrder(Exchange, Order);
  while (Batch.loading(Adapter) && !Exchange.callerGone())
    sleepFor(LoadPollInterval);
  if (Batch.serves(Adapter))
    return respondOrder(Exchange, Order);
  respondEngineError(Exchange, 500, "the load failed");
}

void order_handler::unload(http_exchange &Exchange, const json &Body) {
  respondOrder(Exchange, Batch.unload(Body.value("lora_name", std::string()),
                                      Body.value("fence", std::uint64_t{0})));
}

} // namespace spindle
