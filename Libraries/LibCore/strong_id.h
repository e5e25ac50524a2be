#ifndef PARSLEYSPINDLE_LIBCORE_STRONG_ID_H
#define PARSLEYSPINDLE_LIBCORE_STRONG_ID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace spindle {

/// Hashes a name to 64 bits, the same on every host and in every version.
/// Thread-safe. Never returns 0.
std::uint64_t hashName(std::string_view Name);

/// An identity derived from a name, so that hosts agree on it without
/// coordination. 0 stands for "none". The configuration refuses two names
/// of one kind that hash alike.
template <typename tag> struct strong_id {
  std::uint64_t Value = 0;

  /// Derives the id of \p Name. Thread-safe.
  static strong_id ofName(std::string_view Name) { return {hashName(Name)}; }

  /// Returns whether the id names something.
  explicit operator bool() const { return Value != 0; }
  auto operator<=>(const strong_id &) const = default;
};

struct customer_tag {};
struct host_tag {};
struct zone_tag {};
struct upstream_tag {};
struct adapter_tag {};
struct route_tag {};
struct key_tag {};

using customer_id = strong_id<customer_tag>;
using host_id = strong_id<host_tag>;
using zone_id = strong_id<zone_tag>;
using upstream_id = strong_id<upstream_tag>;
/// Identifies one version of one adapter: the id of "name@version".
using adapter_id = strong_id<adapter_tag>;
using route_id = strong_id<route_tag>;
using key_id = strong_id<key_tag>;

} // namespace spindle

template <typename tag> struct std::hash<spindle::strong_id<tag>> {
  std::size_t operator()(const spindle::strong_id<tag> &Id) const noexcept {
    return static_cast<std::size_t>(Id.Value);
  }
};

#endif // PARSLEYSPINDLE_LIBCORE_STRONG_ID_H
