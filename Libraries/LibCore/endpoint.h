#ifndef PARSLEYSPINDLE_LIBCORE_ENDPOINT_H
#define PARSLEYSPINDLE_LIBCORE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// An IP number and a port. Names are never resolved.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;
};

/// Reads "ADDRESS:PORT" or "[ADDRESS6]:PORT".
/// \throws spindle_error InvalidSettings if the address is not an IP number or
/// the port is not in 0..65535. Thread-safe.
endpoint parseEndpoint(std::string_view Text);
/// Writes what parseEndpoint reads. Thread-safe.
std::string toText(const endpoint &Endpoint);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_ENDPOINT_H
