#include "LibStandIn/credential_log.h"

#include <array>

namespace spindle {

static constexpr std::array<std::string_view, 5> CredentialFields{
    "Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"};

void credential_log::setSecrets(std::vector<std::string> NewSecrets) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Secrets = std::move(NewSecrets);
}

void credential_log::inspect(const http_request_head &Request,
                             std::string_view Body) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const std::string_view Name : CredentialFields)
    if (!findField(Request.Fields, Name).empty())
      Places.insert("header " + std::string(Name));
  if (Secrets.empty())
    return;
  inspectText("target", Request.Target);
  for (const http_field &Field : Request.Fields) {
    inspectText("header " + Field.Name, Field.Name);
    inspectText("header " + Field.Name, Field.Value);
  }
  inspectText("body", Body);
}

void credential_log::inspectText(std::string_view Place,
                                 std::string_view Text) {
  for (const std::string &Secret : Secrets)
    if (Text.find(Secret) != std::string_view::npos)
      Places.insert(std::string(Place));
}

std::vector<std::string> credential_log::places() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return {Places.begin(), Places.end()};
}

} // namespace spindle
