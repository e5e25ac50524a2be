#ifndef PARSLEYSPINDLE_LIBGATEWAY_DEPARTED_UPSTREAMS_H
#define PARSLEYSPINDLE_LIBGATEWAY_DEPARTED_UPSTREAMS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindle {

/// An upstream and the version of the platform's object that registers it.
struct upstream_registration {
  std::uint64_t Version = 0;
  /// Null if the object describes no usable upstream.
  upstream_pointer Entry;
};

/// By the name of the upstream.
using registration_map = std::map<std::string, upstream_registration>;

/// A start of an upstream whose registration this host has seen removed.
struct departed_upstream {
  std::int64_t StartedAt = 0;
  /// Whether it was registered as draining before.
  bool Drained = false;
  time_point RemovedAt;
};

/// A registration that shows an upstream as it was before its removal.
struct withheld_registration {
  std::int64_t StartedAt = 0;
  std::uint64_t Version = 0;
  time_point Until;
};

/// The upstreams that have left, as the platform acknowledged to this host. A
/// platform that is restored from a copy may register them again, although they
/// leave nevertheless. Modified only through the functions below, none of which
/// is thread-safe.
struct departed_upstreams {
  std::map<std::string, departed_upstream> Departed;
  std::map<std::string, withheld_registration> Withheld;
};

/// Upstreams that a restored platform registers as ready again.
struct returned_upstreams {
  /// Those that drain.
  std::vector<upstream_pointer> Draining;
  /// Those whose registration had been removed.
  std::vector<upstream_pointer> Removed;
};

/// Records which upstreams of \p Before are missing in \p After, or are
/// registered again. Drops the oldest ones beyond a limit.
void noteRemovals(departed_upstreams &Upstreams,
                  const std::map<std::string, upstream_pointer> &Before,
                  const std::map<std::string, upstream_pointer> &After,
                  time_point Now);

/// Compares \p Restored, the first registrations of a new era, with \p Before,
/// those of the era before, and withholds what had been removed, see
/// isWithheld().
returned_upstreams
noteRestore(departed_upstreams &Upstreams,
            const std::map<std::string, upstream_pointer> &Before,
            const registration_map &Restored, time_point Now);

/// Ends the withholding of registrations that are gone, of another start of the
/// upstream, or written again by the upstream, and of those that last longer
/// than the platform keeps a registration that the upstream does not renew.
void expireWithheld(departed_upstreams &Upstreams,
                    const registration_map &Registrations, time_point Now);

/// Whether the upstream counts as draining, although its registration shows it
/// as ready.
bool isWithheld(const departed_upstreams &Upstreams, const std::string &Name);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_DEPARTED_UPSTREAMS_H
