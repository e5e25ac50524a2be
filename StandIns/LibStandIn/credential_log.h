#ifndef PARSLEYSPINDLE_STANDINS_LIBSTANDIN_CREDENTIAL_LOG_H
#define PARSLEYSPINDLE_STANDINS_LIBSTANDIN_CREDENTIAL_LOG_H

#include "LibHTTP/http_message.h"

#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Records every place in which a caller's credential reached an upstream.
/// Thread-safe.
class credential_log {
public:
  /// Sets texts, such as test keys, that may occur nowhere in a request.
  void setSecrets(std::vector<std::string> Secrets);
  /// Searches a request: header fields that carry credentials by their
  /// name, and the secrets in head and body.
  void inspect(const http_request_head &Request, std::string_view Body);
  /// The places found, such as "header authorization".
  std::vector<std::string> places() const;

private:
  void inspectText(std::string_view Place, std::string_view Text);

  mutable std::mutex Mutex;
  std::vector<std::string> Secrets;
  std::set<std::string> Places;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBSTANDIN_CREDENTIAL_LOG_H
