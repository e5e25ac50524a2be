#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H

#include "LibConfiguration/intent.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace spindle {

/// An intent as immutable parts, each named by its SHA-256 digest. Equal
/// intents produce equal parts, and a small change leaves most parts unchanged.
struct encoded_intent {
  /// Digest of the part that lists the digests of all other parts.
  std::string Index;
  /// The text of each part by its digest, including the index.
  std::map<std::string, std::string> Parts;
};

/// Splits an intent into parts below PlatformValueLimitBytes.
/// \throws spindle_error PlatformTooLarge if one exceeds that. Thread-safe.
encoded_intent encodeIntent(const intent &Intent);

/// Encodes the text of a part as one JSON string in the body of an object, so
/// that reformatting the JSON can't change a byte of the text. Thread-safe.
std::string writePartBody(std::string_view Text);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
std::string readPartBody(std::string_view Body);

/// Returns the text of a part; throws if it is not available.
using part_source = std::function<std::string(const std::string &Digest)>;

/// Checks that \p Text has the SHA-256 digest \p Digest.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
void checkPart(std::string_view Digest, std::string_view Text);
/// Reads the list of digests from the index.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
std::vector<std::string> readIndex(std::string_view Text);
/// Assembles an intent from its parts and validates it.
/// \throws spindle_error ConfigurationCorrupt, and what \p Source throws.
/// Thread-safe.
intent decodeIntent(const std::string &Index, const part_source &Source);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H
