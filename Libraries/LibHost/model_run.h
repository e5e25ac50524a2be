#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_RUN_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_RUN_H

#include "LibEngine/completion_request.h"
#include "LibHost/request_context.h"
#include "LibResilience/call_progress.h"

#include <string>
#include <vector>

namespace spindle {

/// The token limit of a request that doesn't set one.
inline constexpr std::uint32_t DefaultMaxTokens = 1024;

/// A request to run a model, validated and ready to be sent.
struct model_run {
  completion_request Request;
  adapter_view Adapter;
  std::string AdapterName;
  /// Unique to each attempt.
  std::string RequestId;
  std::uint32_t MaxTokens = DefaultMaxTokens;
  priority_class Priority = priority_class::Plain;
  request_fingerprint Fingerprint;
  tokens Estimate;
  time_point Deadline;
  std::vector<upstream_id> Avoid;
  call_progress Progress;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_RUN_H
