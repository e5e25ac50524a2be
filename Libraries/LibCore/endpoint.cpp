#include "LibCore/endpoint.h"

#include "LibCore/result_code.h"

#include <arpa/inet.h>
#include <charconv>

namespace spindle {

[[noreturn]] static void reject(std::string_view Text,
                                std::string_view Reason) {
  throw spindle_error(result_code::InvalidSettings,
                      "address \"" + std::string(Text) + "\" " +
                          std::string(Reason));
}

static bool isIpNumber(const std::string &Address) {
  in6_addr Parsed{};
  return inet_pton(AF_INET, Address.c_str(), &Parsed) == 1 ||
         inet_pton(AF_INET6, Address.c_str(), &Parsed) == 1;
}

endpoint parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    reject(Text, "has no port");
  std::string_view Address = Text.substr(0, Colon);
  if (Address.size() >= 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  endpoint Result{std::string(Address), 0};
  if (!isIpNumber(Result.Address))
    reject(Text, "is not an IP number");
  const std::string_view Port = Text.substr(Colon + 1);
  const char *const End = Port.data() + Port.size();
  const std::from_chars_result Read =
      std::from_chars(Port.data(), End, Result.Port);
  if (Port.empty() || Read.ec != std::errc() || Read.ptr != End)
    reject(Text, "has a port that is not in 0..65535");
  return Result;
}

std::string toText(const endpoint &Endpoint) {
  const bool IsV6 = Endpoint.Address.find(':') != std::string::npos;
  const std::string Port = std::to_string(Endpoint.Port);
  return IsV6 ? "[" + Endpoint.Address + "]:" + Port
              : Endpoint.Address + ":" + Port;
}

} // namespace spindle
