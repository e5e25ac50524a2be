#ifndef PARSLEYSPINDLE_LIBPLATFORM_HTTP_PLATFORM_H
#define PARSLEYSPINDLE_LIBPLATFORM_HTTP_PLATFORM_H

#include "LibHTTP/http_client.h"
#include "LibPlatform/platform_port.h"

#include <vector>

namespace spindle {

/// Where the platform's API is, and how long to wait for it.
struct http_platform_settings {
  std::vector<endpoint> Servers;
  milliseconds CallTimeout{2'000};
  std::string Namespace = "default";
  /// Sent with each call, so that the platform's records name the host.
  std::string UserAgent = "spindle";
  /// A watch on which nothing arrives for this long, bookmarks included, is
  /// ended.
  milliseconds WatchSilence{10'000};
};

/// Makes a port that uses the platform's REST protocol:
/// /apis/parsleyspindle/v1/namespaces/NAMESPACE/KIND[/NAME].
/// A call that fails makes the next one go to the next server. No write is
/// sent twice. Bodies are returned in canonical form: members sorted, no
/// whitespace, as nlohmann::json writes them.
/// \p Client must outlive the port. The port's functions run in fibers.
/// Precondition: \p Settings names at least one server.
platform_port makeHttpPlatform(http_client &Client,
                               http_platform_settings Settings);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_HTTP_PLATFORM_H
