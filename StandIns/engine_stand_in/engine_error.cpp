#include "engine_stand_in/engine_error.h"

#include "LibStandIn/json_exchange.h"

namespace spindle {

void respondEngineError(http_exchange &Exchange, int Status,
                        const std::string &Message) {
  respondJson(Exchange, Status,
              {{"object", "error"}, {"message", Message}, {"code", Status}});
}

} // namespace spindle
