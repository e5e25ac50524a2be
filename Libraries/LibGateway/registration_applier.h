#ifndef PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H
#define PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_codec.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/registered_upstreams.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace spindle {

/// Applies the registrations of upstreams to the fleet table. All methods are
/// thread-safe.
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
  /// missing, as the time for which they are used may be over.
  void applyIfKept();

private:
  /// The entry is null if the registration describes no usable upstream.
  struct parsed_registration {
    std::uint64_t Revision = 0;
    upstream_pointer Entry;
  };

  std::map<std::string, upstream_pointer> parse();
  void applyLocked();

  const runtime_clock &Clock;
  const object_mirror &Registrations;
  const gateway_codec &Codec;
  fleet_table &Fleet;
  std::mutex Mutex;
  /// By name, so that only changed registrations are parsed again.
  std::map<std::string, parsed_registration> Parsed;
  registered_upstreams Registered;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REGISTRATION_APPLIER_H
