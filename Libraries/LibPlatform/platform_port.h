#ifndef PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_PORT_H
#define PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_PORT_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// An object of the platform's API.
struct platform_object {
  std::string Kind;
  std::string Name;
  /// Grows with every write to any object, and over the restores of a platform
  /// that states them, see platform_version.h.
  std::uint64_t Version = 0;
  /// The object's "spec" as JSON text.
  std::string Body;
};

/// The objects of one kind and the version that a watch may start from.
struct platform_list {
  std::vector<platform_object> Objects;
  std::uint64_t Version = 0;
};

enum class platform_change { Added, Modified, Deleted };

struct platform_event {
  platform_change Change = platform_change::Added;
  platform_object Object;
};

/// Changes of a kind, and the version that the next poll starts from.
struct platform_changes {
  std::vector<platform_event> Events;
  std::uint64_t Version = 0;
};

/// The platform's object API. Every function blocks the calling fiber and
/// throws spindle_error PlatformUnavailable when no answer came: a write may
/// then have taken effect, so its writer puts a nonce into the body and reads
/// back before it concludes anything. Thread-safe.
struct platform_port {
  /// \throws PlatformNotFound is not thrown: a missing object is nullopt.
  std::function<std::optional<platform_object>(std::string_view Kind,
                                               std::string_view Name)>
      Get;
  std::function<platform_list(std::string_view Kind)> List;
  /// Creates an object and returns its version.
  /// \throws PlatformConflict if the object exists.
  std::function<std::uint64_t(std::string_view Kind, std::string_view Name,
                              std::string_view Body)>
      Create;
  /// Replaces the object if it still has \p Version; returns the new version.
  /// \throws PlatformConflict, PlatformNotFound.
  std::function<std::uint64_t(std::string_view Kind, std::string_view Name,
                              std::uint64_t Version, std::string_view Body)>
      Update;
  /// Deletes the object if it still has \p Version.
  /// \throws PlatformConflict, PlatformNotFound.
  std::function<void(std::string_view Kind, std::string_view Name,
                     std::uint64_t Version)>
      Remove;
  /// Delivers changes of a kind after \p FromVersion until \p OnEvent returns
  /// false or \p Limit has passed. \throws PlatformTooOld.
  std::function<void(
      std::string_view Kind, std::uint64_t FromVersion, milliseconds Limit,
      const std::function<bool(const platform_event &)> &OnEvent)>
      Watch;
  /// Waits at most \p Limit for changes of a kind after \p FromVersion and
  /// returns all that there are. Empty where the platform only has Watch.
  /// \throws PlatformTooOld.
  std::function<platform_changes(std::string_view Kind,
                                 std::uint64_t FromVersion, milliseconds Limit)>
      Changes;
};

/// Kinds of objects. The platform writes "machines", this system the others.
namespace platform_kind {
/// The platform's lagging list of machines: spec {zone, role:
/// "host"|"upstream", state: "live"|"leaving"}, named as in the settings or
/// intent. A machine that is gone is not listed.
inline constexpr std::string_view Machines = "machines";
/// One object a host: its lease, incarnation and the configuration in force.
inline constexpr std::string_view HostLeases = "hostleases";
/// One object a zone: base shares of hosts and owners of engines.
inline constexpr std::string_view ZoneTables = "zonetables";
/// One object, "head": version, part digests and the last audit entries.
inline constexpr std::string_view ConfigurationHeads = "configurationheads";
/// Immutable parts named by digest.
inline constexpr std::string_view ConfigurationParts = "configurationparts";
inline constexpr std::string_view Orders = "orders";
/// One object, "fleet": quarantined request fingerprints.
inline constexpr std::string_view Suspects = "suspects";
} // namespace platform_kind

/// Values larger than this are refused by the platform.
inline constexpr std::size_t PlatformValueLimitBytes = 1'000'000;

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_PORT_H
