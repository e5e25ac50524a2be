#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_WRITER_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// A request as the engine reads it from a caller's body.
struct engine_call {
  bool Chat = false;
  std::string Model;
  /// The prompt, or the messages' texts joined by LF.
  std::string Prompt;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 1;
  std::uint32_t MaxTokens = 16;
  int Priority = 0;
  bool Stream = false;
  bool IncludeUsage = false;
  /// The X-Request-Id of the call, or a number; the answer's id ends with it.
  std::string RequestId;
};

/// Reads a body. \throws spindle_error BadRequest. Thread-safe.
engine_call readEngineCall(bool Chat, std::string_view Body);

/// Writes the parts of one answer in OpenAI's formats. Not thread-safe.
class answer_writer {
public:
  /// Answers \p Call, which must outlive the object, with \p Model as its
  /// model.
  answer_writer(const engine_call &Call, std::string_view Model,
                std::uint32_t Length);

  /// Appends the event of the token at \p Index.
  void appendEvent(std::string &Text, std::uint32_t Index) const;
  /// Appends what follows the last token: usage if requested, and "[DONE]".
  void appendEnd(std::string &Text) const;
  /// The answer as one document.
  std::string whole() const;

private:
  std::string usage() const;
  std::string_view finishReason() const;

  const engine_call &Call;
  std::uint32_t Length;
  std::uint64_t Seed;
  /// What each part of the answer begins with.
  std::string Head;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_WRITER_H
