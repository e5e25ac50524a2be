#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_TEXT_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_TEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// The text of an engine's answers depends only on adapter, prompt and place,
/// so that a caller can check that it got its own whole answer.

/// What the tokens of an answer are derived from. Thread-safe.
std::uint64_t answerSeed(std::string_view Adapter, std::string_view Prompt);
/// Appends the token at place \p Index of the answer to \p Text. Thread-safe.
void appendAnswerToken(std::string &Text, std::uint64_t Seed,
                       std::uint32_t Index);
/// The first \p Tokens tokens of the answer, joined. Thread-safe.
std::string answerText(std::string_view Adapter, std::string_view Prompt,
                       std::uint32_t Tokens);
/// How many tokens an answer has: \p MaxTokens, or fewer if the prompt holds
/// "answer-tokens=N". Thread-safe.
std::uint32_t answerLength(std::string_view Prompt, std::uint32_t MaxTokens);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_TEXT_H
