#ifndef PARSLEYSPINDLE_LIBENGINE_ANSWER_VERIFIER_H
#define PARSLEYSPINDLE_LIBENGINE_ANSWER_VERIFIER_H

#include "LibEngine/answer_fields.h"
#include "LibEngine/event_stream_reader.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// Checks that an engine's answer is the whole answer of the adapter and
/// version that was requested, and counts its tokens. An answer is passed on
/// only after it was accepted here. Not thread-safe.
class answer_verifier {
public:
  /// \p Adapter is "name@version". If \p RequestId is not empty, the engine
  /// ends the answer's id with it, and an answer to another request is refused
  /// too.
  explicit answer_verifier(std::string_view Adapter,
                           std::string_view RequestId = {});

  /// Checks one event of a stream before it is passed on.
  /// \throws spindle_error WrongAdapterAnswered, AnswerCutShort (an error
  /// event, data that is not JSON, "[DONE]" before a finish reason or after
  /// more parts than the engine reports generated tokens, or data after
  /// the end).
  void accept(const stream_event &Event);
  /// Checks a whole answer that is not a stream.
  /// \throws spindle_error WrongAdapterAnswered, AnswerCutShort.
  void acceptWhole(std::string_view Body);
  /// Checks that the stream has come to its end, that is, "[DONE]".
  /// \throws spindle_error AnswerCutShort.
  void finish() const;

  /// Whether the event accepted last carries usage but no choice. Such events
  /// are for callers that requested usage.
  bool lastWasUsageOnly() const { return LastUsageOnly; }
  /// Whether "[DONE]" was received.
  bool done() const { return Done; }
  /// Generated tokens: as in the engine's usage, else the events that
  /// carry choices.
  std::uint64_t completionTokens() const;
  /// The engine's count of prompt tokens; 0 if it gave none.
  std::uint64_t promptTokens() const { return PromptTokens; }

private:
  void check(const answer_fields &Fields);
  void checkEnd() const;

  std::string Adapter;
  std::string RequestId;
  /// The id of the first event; all others must have the same.
  std::string Id;
  bool Done = false;
  bool Finished = false;
  bool LastUsageOnly = false;
  std::uint64_t ChoiceEvents = 0;
  std::uint64_t TextEvents = 0;
  std::uint64_t ReportedTokens = 0;
  std::uint64_t PromptTokens = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_ANSWER_VERIFIER_H
