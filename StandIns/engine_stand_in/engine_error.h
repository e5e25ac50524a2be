#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_ERROR_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_ERROR_H

#include "LibHTTP/http_server.h"

#include <string>

namespace spindle {

/// Answers with an error as a model engine words it. Precondition: nothing was
/// sent before.
void respondEngineError(http_exchange &Exchange, int Status,
                        const std::string &Message);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_ERROR_H
