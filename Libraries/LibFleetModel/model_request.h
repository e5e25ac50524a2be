#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REQUEST_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REQUEST_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/request_description.h"
#include "LibGateway/slot_queue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace spindle {

/// One caller's request, over all its attempts.
struct model_request {
  std::uint64_t Id = 0;
  /// Index into the settings' kinds.
  std::size_t Kind = 0;
  /// The host that the attempt goes to.
  std::size_t Host = 0;
  request_description Description;
  time_point Begin;
  time_point AttemptBegin;
  std::uint32_t RetriesLeft = 0;
  bool RetriesAtOnce = false;
  /// Engines that the attempt has tried in vain.
  std::vector<upstream_id> Avoid;
  std::uint32_t ZonesTried = 0;
  slot_request SlotRequest;
  /// The request's place in the queue of Zone; 0 if it has none.
  std::uint64_t Ticket = 0;
  std::size_t Zone = 0;
  /// The engine that it was sent to, while it runs there.
  std::optional<std::size_t> Engine;
  std::optional<time_point> FirstEvent;
  time_point LastEvent;
  bool IsLate = false;
  bool Ended = false;
};

using request_pointer = std::shared_ptr<model_request>;

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REQUEST_H
