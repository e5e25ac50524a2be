#ifndef PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_MESSAGE_H
#define PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_MESSAGE_H

#include "LibPlatform/platform_port.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spindle {

/// The fixed part of every path of the platform's API.
inline constexpr std::string_view PlatformPathPrefix =
    "/apis/parsleyspindle/v1/namespaces/";

/// The kinds of lines in a watch's response.
enum class watch_line_kind { Event, Bookmark, TooOld, Failed };

struct watch_line {
  watch_line_kind Kind = watch_line_kind::Bookmark;
  /// Set for Event.
  platform_event Event;
  /// Set for Failed.
  std::string Message;
};

/// Writes the path of a kind's collection, or of one object if \p Name is not
/// empty. Names are percent-encoded where needed. Thread-safe.
std::string platformPath(std::string_view Namespace, std::string_view Kind,
                         std::string_view Name);
/// Encodes \p Text as one segment of a path. Thread-safe.
std::string encodePathSegment(std::string_view Text);
/// Decodes what encodePathSegment() wrote; faulty escapes stay as they are.
/// Thread-safe.
std::string decodePathSegment(std::string_view Text);
/// Writes an object; without resourceVersion if its version is 0.
/// Precondition: the object's body is JSON text. Thread-safe.
std::string writeObject(const platform_object &Object);
/// Reads an object whose kind is \p Kind. Thread-safe.
/// \throws spindle_error PlatformUnavailable if \p Text is not an object.
platform_object readObject(std::string_view Kind, std::string_view Text);
/// Reads the objects of a kind. Thread-safe. \throws as readObject().
platform_list readList(std::string_view Kind, std::string_view Text);
/// Reads a line of a watch on \p Kind. Thread-safe. \throws as readObject().
watch_line readWatchLine(std::string_view Kind, std::string_view Line);
/// Writes the options of a conditional deletion. Thread-safe.
std::string writeDeleteOptions(std::uint64_t Version);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_MESSAGE_H
