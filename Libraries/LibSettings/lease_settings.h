#ifndef PARSLEYSPINDLE_LIBSETTINGS_LEASE_SETTINGS_H
#define PARSLEYSPINDLE_LIBSETTINGS_LEASE_SETTINGS_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// The times of a host's lease at the platform, the same on every host.
struct lease_settings {
  /// The holder acts for this long after it sent its last confirmed renewal.
  milliseconds Duration{10'000};
  milliseconds RenewInterval{3'000};
  /// Others wait this much longer before they treat a lease as lapsed.
  milliseconds Margin{2'000};
  /// As Duration, for the host's share of rates.
  milliseconds ShareDuration{7'200'000};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSETTINGS_LEASE_SETTINGS_H
