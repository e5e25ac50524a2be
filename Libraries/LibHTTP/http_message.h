#ifndef PARSLEYSPINDLE_LIBHTTP_HTTP_MESSAGE_H
#define PARSLEYSPINDLE_LIBHTTP_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// One header field. Names compare without regard to case.
struct http_field {
  std::string Name;
  std::string Value;
};

using http_fields = std::vector<http_field>;

/// The head of a request; the body is read separately.
struct http_request_head {
  std::string Method;
  /// Path and query as received.
  std::string Target;
  http_fields Fields;
};

/// The head of a response; the body is read or written separately.
struct http_response_head {
  int Status = 200;
  http_fields Fields;
};

/// A response with its whole body.
struct http_response {
  http_response_head Head;
  std::string Body;
};

/// Tells whether two field names are the same. Thread-safe.
bool sameFieldName(std::string_view Left, std::string_view Right);
/// Returns the first field called \p Name, or an empty view. Thread-safe.
std::string_view findField(const http_fields &Fields, std::string_view Name);
/// Returns the path of \p Target, without its query. Thread-safe.
std::string_view pathOf(std::string_view Target);
/// Returns the decoded value of the query parameter \p Name, or an empty
/// string. Thread-safe.
std::string queryParameter(std::string_view Target, std::string_view Name);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_HTTP_MESSAGE_H
