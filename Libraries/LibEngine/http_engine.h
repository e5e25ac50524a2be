#ifndef PARSLEYSPINDLE_LIBENGINE_HTTP_ENGINE_H
#define PARSLEYSPINDLE_LIBENGINE_HTTP_ENGINE_H

#include "LibEngine/engine_port.h"
#include "LibHTTP/http_client.h"

namespace spindle {

/// Makes a port that sends orders and queries to engines over HTTP:
/// POST /v1/load_lora_adapter and /v1/unload_lora_adapter with
/// {"lora_name": "name@version", "fence": N}, GET /load, and
/// GET /cache_events?since=N. Orders are never sent twice.
/// \p Client must outlive the port. The port's functions run in fibers.
engine_port makeHttpEngine(http_client &Client);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_HTTP_ENGINE_H
