#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H

#include "LibConfiguration/intent.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace spindle {

/// An intent as immutable parts, each named by its SHA-256 digest. Equal
/// intents give equal parts, and a small change leaves most parts alone.
struct encoded_intent {
  /// Digest of the part that lists the others.
  std::string Index;
  /// By digest; the index is among them.
  std::map<std::string, std::string> Parts;
};

/// Splits an intent into parts below PlatformValueLimitBytes.
/// \throws spindle_error PlatformTooLarge if one can't be. Thread-safe.
encoded_intent encodeIntent(const intent &Intent);

/// Wraps a part's text as an object's body, so that no other writer of JSON
/// can change a byte of it. Thread-safe.
std::string writePartBody(std::string_view Text);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
std::string readPartBody(std::string_view Body);

/// Returns a part's text; throws if it can't be had.
using part_source = std::function<std::string(const std::string &Digest)>;

/// Checks that \p Text is the part called \p Digest.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
void checkPart(std::string_view Digest, std::string_view Text);
/// Reads the index's list of digests.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
std::vector<std::string> readIndex(std::string_view Text);
/// Puts an intent together and checks it whole.
/// \throws spindle_error ConfigurationCorrupt, and what \p Source throws.
/// Thread-safe.
intent decodeIntent(const std::string &Index, const part_source &Source);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_CODEC_H
