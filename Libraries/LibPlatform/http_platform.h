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
};

/// Makes a port that speaks the platform's REST protocol:
/// /apis/parsleyspindle/v1/namespaces/NAMESPACE/KIND[/NAME].
/// \p Client must outlive the port. The port's functions run in fibers.
platform_port makeHttpPlatform(http_client &Client,
                               http_platform_settings Settings);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_HTTP_PLATFORM_H
