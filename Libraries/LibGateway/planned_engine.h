#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLANNED_ENGINE_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLANNED_ENGINE_H

#include "LibCore/strong_id.h"
#include "LibRouting/engine_placement.h"

namespace spindle {

/// An engine as it was when the request was planned. The candidate's work may
/// be gone since.
struct planned_engine {
  upstream_id Id;
  engine_candidate Candidate;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLANNED_ENGINE_H
