#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOCATION_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOCATION_H

#include "LibGateway/upstream_entry.h"

namespace spindle {

/// An adapter and the engine on which it is loaded.
struct adapter_location {
  upstream_id Engine;
  versioned_adapter Adapter;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOCATION_H
