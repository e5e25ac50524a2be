#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_OUTLOOK_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_OUTLOOK_H

#include "LibGateway/adapter_slots.h"

namespace spindle {

/// What it takes to serve requests for an adapter on one engine.
struct adapter_outlook {
  slot_outlook Slots;
  /// Whether the engine probably has a copy of the adapter in its memory.
  bool LikelyHasCopy = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_OUTLOOK_H
