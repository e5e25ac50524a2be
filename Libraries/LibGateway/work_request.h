#ifndef PARSLEYSPINDLE_LIBGATEWAY_WORK_REQUEST_H
#define PARSLEYSPINDLE_LIBGATEWAY_WORK_REQUEST_H

#include "LibCore/strong_id.h"
#include "LibGateway/request_description.h"
#include "LibGateway/slot_queue.h"
#include "LibRouting/engine_placement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spindle {

/// A request that needs an engine of a zone.
struct work_request {
  std::string Service;
  /// The model, the adapter and the parts of the prompt.
  request_description Description;
  /// The minimum version of the adapter.
  std::uint64_t AdapterVersion = 0;
  /// The expected output and the objectives; the placer fills in the rest.
  placement_query Query;
  std::vector<upstream_id> Avoid;
  /// When the first event is due, until when it is of use, and how urgent it
  /// is. The placer fills in the engines.
  slot_request Slot;
};

/// Brings token counts that callers or peers state into the range that requests
/// have: a negative or absurd one would occupy an engine for hours, or none of
/// it. Thread-safe.
void boundTokens(work_request &Request);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_WORK_REQUEST_H
