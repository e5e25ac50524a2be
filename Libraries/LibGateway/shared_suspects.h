#ifndef PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H

#include "LibCore/runtime_clock.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/crash_suspects.h"

#include <map>
#include <mutex>
#include <vector>

namespace spindle {

/// The requests suspected of crashing upstreams, synchronized between hosts;
/// see crash_suspects. All methods are thread-safe.
class shared_suspects {
public:
  using messages = google::protobuf::RepeatedPtrField<host_link::Suspect>;

  /// \p Clock must outlive the object.
  explicit shared_suspects(const runtime_clock &Clock) : Clock(Clock) {}

  bool isHeldBack(request_fingerprint Fingerprint);
  void noteRunStarted(upstream_id Upstream, request_fingerprint Fingerprint);
  void noteRunEnded(upstream_id Upstream, request_fingerprint Fingerprint,
                    run_end End);
  /// Writes the suspects to send to other hosts.
  void write(messages &Messages);
  /// Merges the suspects received from another host.
  void merge(const messages &Messages);

private:
  struct announced_suspect {
    suspect_record Record;
    time_point LastChangeAt;
  };

  std::vector<const announced_suspect *> mostCrashed() const;

  const runtime_clock &Clock;
  std::mutex Mutex;
  crash_suspects Suspects;
  /// Suspects for messages to other hosts, until they expire.
  std::map<request_fingerprint, announced_suspect> Announced;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SHARED_SUSPECTS_H
