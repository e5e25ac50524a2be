#ifndef PARSLEYSPINDLE_LIBENGINE_ANSWER_FIELDS_H
#define PARSLEYSPINDLE_LIBENGINE_ANSWER_FIELDS_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace spindle {

/// The fields that a host reads of an engine's answer, or of a stream's event.
/// The views point into the text that was read; escapes are not decoded.
struct answer_fields {
  /// False if the text is not one JSON object.
  bool Valid = false;
  std::string_view Id;
  std::string_view Model;
  /// Of the last choice that has one; empty while it is null.
  std::string_view FinishReason;
  /// Whether "choices" holds at least one choice.
  bool HasChoices = false;
  /// Whether a choice holds generated text ("text" or "delta.content").
  bool HasText = false;
  /// Whether the engine reports an error instead of an answer.
  bool HasError = false;
  std::optional<std::uint64_t> PromptTokens;
  std::optional<std::uint64_t> CompletionTokens;
};

/// Reads the fields in one pass over \p Text, without building a document,
/// and never reads names inside of strings. Thread-safe.
answer_fields readAnswerFields(std::string_view Text);
/// Returns whether the JSON string body \p Raw, escapes included, stands for
/// \p Plain. Thread-safe.
bool sameJsonText(std::string_view Raw, std::string_view Plain);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_ANSWER_FIELDS_H
