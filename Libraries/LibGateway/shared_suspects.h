#ifndef PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H

#include "LibCore/runtime_clock.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/crash_suspects.h"

#include <map>
#include <mutex>

namespace spindle {

/// The requests that may have crashed upstreams, as all hosts know them; see
/// crash_suspects. Thread-safe in every method.
class shared_suspects {
public:
  using messages = google::protobuf::RepeatedPtrField<host_link::Suspect>;

  /// \p Clock must outlive the object.
  explicit shared_suspects(const runtime_clock &Clock) : Clock(Clock) {}

  bool isHeldBack(request_fingerprint Fingerprint);
  void noteRunStarted(upstream_id Upstream, request_fingerprint Fingerprint);
  void noteRunEnded(upstream_id Upstream, request_fingerprint Fingerprint,
                    run_end End);
  /// Writes what other hosts should know.
  void write(messages &Messages);
  /// Takes over what another host knows.
  void merge(const messages &Messages);

private:
  const runtime_clock &Clock;
  std::mutex Mutex;
  crash_suspects Suspects;
  /// Those that are told with every message until they expire.
  std::map<request_fingerprint, suspect_record> Announced;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H
