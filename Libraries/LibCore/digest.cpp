#include "LibCore/digest.h"

#include <array>

#include <openssl/sha.h>

namespace spindle {

std::string sha256Hex(std::string_view Data) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Raw{};
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         Raw.data());
  std::string Text;
  Text.reserve(2 * Raw.size());
  for (unsigned char Byte : Raw) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 0xf]);
  }
  return Text;
}

} // namespace spindle
