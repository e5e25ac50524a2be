#ifndef PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H
#define PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/departed_upstreams.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_codec.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/registered_upstreams.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// Applies the registrations of upstreams to the fleet table. An upstream that
/// had left before the platform was restored from a copy gets no requests,
/// although the copy registers it as ready. All methods are thread-safe.
class registration_applier {
public:
  /// All arguments must outlive the object.
  registration_applier(const runtime_clock &Clock,
                       const object_mirror &Registrations,
                       const gateway_codec &Codec, fleet_table &Fleet)
      : Clock(Clock), Registrations(Registrations), Codec(Codec), Fleet(Fleet) {
  }

  /// Applies what is registered now.
  void apply();
  /// Applies what is registered now if upstreams are used whose registration is
  /// missing, or not used although they are registered, as the time for that
  /// may be over.
  void applyIfKept();

private:
  registration_map parse() const;
  std::map<std::string, upstream_pointer> present() const;
  std::vector<upstream_pointer> entriesToUse() const;
  void noteEra(std::uint64_t CopyEra, time_point Now);
  void applyLocked();

  const runtime_clock &Clock;
  const object_mirror &Registrations;
  const gateway_codec &Codec;
  fleet_table &Fleet;
  std::mutex Mutex;
  /// Kept so that only changed registrations are parsed again.
  registration_map Parsed;
  registered_upstreams Registered;
  departed_upstreams Departed;
  /// The platform's era that the registrations were last read in.
  std::optional<std::uint64_t> Era;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H
