#include "LibCore/utf8.h"

#include <cstddef>

namespace spindle {

namespace {

constexpr unsigned ContinuationMask = 0xC0;
constexpr unsigned ContinuationMark = 0x80;
constexpr unsigned PayloadMask = 0x3F;
constexpr unsigned PayloadBits = 6;
constexpr unsigned FirstSurrogate = 0xD800;
constexpr unsigned LastSurrogate = 0xDFFF;
constexpr unsigned LastCodePoint = 0x10FFFF;

/// What the first byte of a sequence states.
struct sequence_start {
  /// The bytes of the whole sequence; 0 if it can't start one.
  std::size_t Size;
  unsigned Payload;
  unsigned LeastCodePoint;
};

sequence_start readStart(unsigned Byte) {
  if (Byte < 0x80)
    return {1, Byte, 0};
  if (Byte >= 0xC0 && Byte < 0xE0)
    return {2, Byte & 0x1F, 0x80};
  if (Byte >= 0xE0 && Byte < 0xF0)
    return {3, Byte & 0x0F, 0x800};
  if (Byte >= 0xF0 && Byte < 0xF8)
    return {4, Byte & 0x07, 0x10000};
  return {0, 0, 0};
}

unsigned byteAt(std::string_view Text, std::size_t Index) {
  return static_cast<unsigned char>(Text[Index]);
}

/// The size of the sequence at the start of \p Text; 0 if it is not valid.
std::size_t sequenceSize(std::string_view Text) {
  const sequence_start Start = readStart(byteAt(Text, 0));
  if (Start.Size == 0 || Start.Size > Text.size())
    return 0;
  unsigned CodePoint = Start.Payload;
  for (std::size_t Index = 1; Index < Start.Size; ++Index) {
    const unsigned Byte = byteAt(Text, Index);
    if ((Byte & ContinuationMask) != ContinuationMark)
      return 0;
    CodePoint = (CodePoint << PayloadBits) | (Byte & PayloadMask);
  }
  const bool IsSurrogate =
      CodePoint >= FirstSurrogate && CodePoint <= LastSurrogate;
  const bool IsValid = CodePoint >= Start.LeastCodePoint && !IsSurrogate &&
                       CodePoint <= LastCodePoint;
  return IsValid ? Start.Size : 0;
}

} // namespace

bool isValidUtf8(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t Size = sequenceSize(Text);
    if (Size == 0)
      return false;
    Text.remove_prefix(Size);
  }
  return true;
}

} // namespace spindle
