#ifndef PARSLEYSPINDLE_SERVICES_SPINDLED_SETTINGS_WATCH_H
#define PARSLEYSPINDLE_SERVICES_SPINDLED_SETTINGS_WATCH_H

#include "LibCore/runtime_clock.h"
#include "LibSettings/host_settings.h"

#include <string>

namespace spindle {

/// Reads and checks a settings file. Thread-safe.
/// \throws spindle_error InvalidSettings.
host_settings readSettings(const std::string &File);

/// Notices a changed settings file, told of by a signal or not. What can be
/// changed in a running process, the log, is put in force; what can't is
/// reported. A file that is not valid changes nothing. Used by one thread.
class settings_watch {
public:
  /// \p Clock must outlive the object.
  settings_watch(const runtime_clock &Clock, std::string File,
                 const host_settings &Settings);

  /// Looks at the file, at once if \p Asked, else once in a while. Never
  /// throws.
  void look(bool Asked);

private:
  const runtime_clock &Clock;
  const std::string File;
  std::string Text;
  host_settings InForce;
  time_point LookedAt;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_SERVICES_SPINDLED_SETTINGS_WATCH_H
