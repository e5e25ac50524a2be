#ifndef PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H
#define PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// A part of a prompt that requests share. An engine that has read a part,
/// and all before it, for the same adapter need not read it again.
struct prompt_part {
  std::uint64_t Id = 0;
  std::int64_t Tokens = 0;
};

/// What a request's head says of it; the body stays opaque.
struct request_description {
  /// The caller's own id of this attempt; upstreams echo it.
  std::string AttemptId;
  std::string Key;
  /// How long the caller waits.
  std::optional<milliseconds> CallerTimeout;
  /// Empty for a call to a plain service.
  std::string Model;
  /// Empty for the model without an adapter.
  std::string Adapter;
  bool HasTokenCounts = false;
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0;
  std::vector<prompt_part> Prompt;
  /// Set if the caller resumes a stream.
  std::string LastEventId;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H
