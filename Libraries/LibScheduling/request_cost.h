#ifndef PARSLEYSPINDLE_LIBSCHEDULING_REQUEST_COST_H
#define PARSLEYSPINDLE_LIBSCHEDULING_REQUEST_COST_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace spindle {

/// What the head of a request states that bears on its cost.
struct cost_features {
  std::string_view Service;
  std::string_view Route;
  std::string_view Customer;
  /// Empty if the request names no adapter.
  std::string_view Adapter;
  std::int64_t PromptTokens = 0;
  /// The caller's own estimate of the output tokens.
  std::optional<std::int64_t> OutputHint;
  /// The limit on the output tokens; 0 if the request states none.
  std::int64_t MaxOutputTokens = 0;
};

/// What a request is expected to cost its engine.
struct request_cost {
  std::int64_t PromptTokens = 0;
  /// Median of the output tokens.
  std::int64_t OutputTokens = 0;
  /// The output tokens that nine in ten such requests stay below.
  std::int64_t HighOutputTokens = 0;

  /// The tokens that the request occupies in the engine's memory at its end.
  std::int64_t memoryTokens() const { return PromptTokens + HighOutputTokens; }
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_REQUEST_COST_H
