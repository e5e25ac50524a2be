#ifndef PARSLEYSPINDLE_LIBENGINE_COMPLETION_REQUEST_H
#define PARSLEYSPINDLE_LIBENGINE_COMPLETION_REQUEST_H

#include "LibConfiguration/intent.h"
#include "LibCore/tokens.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spindle {

/// The two OpenAI endpoints that run a model.
enum class completion_endpoint { Completions, ChatCompletions };

/// A request to run a model, as a caller sent it.
struct completion_request {
  completion_endpoint Endpoint = completion_endpoint::Completions;
  /// The adapter as named by the caller, with or without "@version".
  std::string Model;
  bool Stream = false;
  /// The caller's bound on generated tokens ("max_tokens" or
  /// "max_completion_tokens").
  std::optional<std::uint32_t> MaxTokens;
  /// The class that the caller claims by "priority".
  std::optional<priority_class> Priority;
  /// Whether the caller requested usage in a stream
  /// ("stream_options": {"include_usage": true}).
  bool IncludeUsage = false;
  /// Estimate of the prompt's length, see estimateTokens(). Exact if the
  /// prompt was given as token numbers.
  tokens PromptTokens{1};
  /// See prefixHash(). Requests that share a preamble have the same value.
  std::uint64_t PrefixHash = 0;
  /// Hash of everything that influences how the request runs: all fields but
  /// "stream", "stream_options" and "priority", in canonical order.
  std::uint64_t Fingerprint = 0;
  /// The remaining fields as one JSON object in canonical order.
  std::string OtherFields;
};

/// How many leading bytes of a prompt its prefix hash covers.
inline constexpr std::size_t PrefixHashBytes = 256;

/// Reads the body of \p Endpoint.
/// \throws spindle_error BadRequest whose message names field and place.
/// Thread-safe.
completion_request parseCompletionRequest(completion_endpoint Endpoint,
                                          std::string_view Body);
/// Writes the body for the engine: the caller's other fields, \p Adapter
/// ("name@version") as model, \p MaxTokens as the bound, the class as a
/// number (0 is served first), and a request for usage in streams. Thread-safe.
std::string upstreamBody(const completion_request &Request,
                         std::string_view Adapter, std::uint32_t MaxTokens,
                         priority_class Priority);
/// Estimates the length of \p TextBytes of prompt: four bytes a token,
/// rounded up, at least one. Thread-safe.
tokens estimateTokens(std::size_t TextBytes);
/// XXH3 of the first PrefixHashBytes of a prompt, or of a chat's first
/// message; engines publish cache events with it. Thread-safe.
std::uint64_t prefixHash(std::string_view Prompt);
/// Reads "rush", "chat", "plain" or "batch". Thread-safe.
std::optional<priority_class> parsePriority(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_COMPLETION_REQUEST_H
