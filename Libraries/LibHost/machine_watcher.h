#ifndef PARSLEYSPINDLE_LIBHOST_MACHINE_WATCHER_H
#define PARSLEYSPINDLE_LIBHOST_MACHINE_WATCHER_H

#include "LibMembership/machine_list.h"
#include "LibPlatform/platform_port.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace spindle {

/// Follows the platform's list of machines. Thread-safe.
class machine_watcher {
public:
  explicit machine_watcher(platform_port Platform)
      : Platform(std::move(Platform)) {}

  /// The machines as last read; empty before that.
  machine_list machines() const;
  /// Whether the host's machine is listed.
  bool contains(const std::string &Host) const;
  /// Whether the host's machine is marked as leaving.
  bool isDraining(const std::string &Host) const;
  /// Reads the whole list. \throws spindle_error if the platform does not
  /// answer.
  void read();
  /// Watches the list for \p Limit. Returns whether the platform answered.
  bool watch(milliseconds Limit);

private:
  void applyEvent(const platform_event &Event);
  std::uint64_t watchVersion();

  const platform_port Platform;
  mutable std::mutex Mutex;
  machine_list Machines;
  /// The version from which a watch resumes; nullopt until the list has been
  /// read again.
  std::optional<std::uint64_t> Version;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MACHINE_WATCHER_H
