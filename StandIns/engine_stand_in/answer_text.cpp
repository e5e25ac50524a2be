#include "engine_stand_in/answer_text.h"

#include "LibCore/strong_id.h"

#include <algorithm>
#include <charconv>

namespace spindle {

/// Mixes a seed and a place (the finalizer of SplitMix64).
static std::uint64_t mix(std::uint64_t Seed, std::uint32_t Index) {
  std::uint64_t Value = Seed + (Index + 1ULL) * 0x9E3779B97F4A7C15ULL;
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EBULL;
  return Value ^ (Value >> 31);
}

void appendAnswerToken(std::string &Text, std::uint64_t Seed,
                       std::uint32_t Index) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  static constexpr int TokenDigits = 7;
  std::uint64_t Value = mix(Seed, Index);
  Text.push_back(' ');
  for (int Digit = 0; Digit < TokenDigits; ++Digit, Value >>= 4)
    Text.push_back(Digits[Value & 0xF]);
}

std::uint64_t answerSeed(std::string_view Adapter, std::string_view Prompt) {
  return hashName(Adapter) * 31 + hashName(Prompt);
}

std::string answerText(std::string_view Adapter, std::string_view Prompt,
                       std::uint32_t Tokens) {
  const std::uint64_t Seed = answerSeed(Adapter, Prompt);
  std::string Text;
  for (std::uint32_t Index = 0; Index < Tokens; ++Index)
    appendAnswerToken(Text, Seed, Index);
  return Text;
}

std::uint32_t answerLength(std::string_view Prompt, std::uint32_t MaxTokens) {
  static constexpr std::string_view Mark = "answer-tokens=";
  const std::size_t Place = Prompt.find(Mark);
  if (Place == std::string_view::npos)
    return MaxTokens;
  const std::string_view Number = Prompt.substr(Place + Mark.size());
  std::uint32_t Length = MaxTokens;
  std::from_chars(Number.data(), Number.data() + Number.size(), Length);
  return std::clamp<std::uint32_t>(Length, 1, std::max(1U, MaxTokens));
}

} // namespace spindle
