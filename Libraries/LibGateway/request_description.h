#ifndef PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H
#define PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// A part of a prompt that requests share. An engine that has processed it and
/// all preceding parts with the same adapter can reuse them from its prefix
/// cache.
struct prompt_part {
  std::uint64_t Id = 0;
  std::int64_t Tokens = 0;
};

/// What the head of a request states about it; the body is not parsed.
struct request_description {
  /// The caller's id for this attempt, which upstreams echo.
  std::string AttemptId;
  std::string Key;
  /// How long the caller waits for the answer.
  std::optional<milliseconds> CallerTimeout;
  /// Empty for a request to a service without models.
  std::string Model;
  /// Empty for the base model without an adapter.
  std::string Adapter;
  bool HasTokenCounts = false;
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0;
  /// The caller's own estimate of the output tokens.
  std::optional<std::int64_t> OutputHint;
  std::vector<prompt_part> Prompt;
  /// Set if the caller resumes a stream.
  std::string LastEventId;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REQUEST_DESCRIPTION_H
