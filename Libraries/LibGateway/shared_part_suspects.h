#ifndef PARSLEYSPINDLE_LIBGATEWAY_SHARED_PART_SUSPECTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SHARED_PART_SUSPECTS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/request_description.h"
#include "LibGateway/upstream_entry.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/part_suspects.h"

#include <mutex>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace spindle {

/// The parts of the prompt that other requests to \p Service may share: all but
/// the last. Thread-safe.
std::vector<part_id> sharedParts(const request_description &Request,
                                 std::string_view Service);

/// The parts of prompts suspected of crashing upstreams, synchronized between
/// hosts; see part_suspects. All methods are thread-safe.
class shared_part_suspects {
public:
  using messages = google::protobuf::RepeatedPtrField<host_link::PartSuspect>;

  /// \p Clock must outlive the object.
  explicit shared_part_suspects(const runtime_clock &Clock) : Clock(Clock) {}

  /// How much longer requests with any of these parts are held back; 0 if they
  /// are not.
  milliseconds heldBackFor(std::span<const part_id> Parts);
  /// Records that the upstream was lost while it ran a request.
  void noteLost(const upstream_entry &Upstream, std::span<const part_id> Parts);
  void noteCompleted(std::span<const part_id> Parts);
  void write(messages &Messages);
  void merge(const messages &Messages);

private:
  void logChanges();

  const runtime_clock &Clock;
  std::mutex Mutex;
  part_suspects Suspects;
  /// The parts held back according to the last log line.
  std::set<part_id> Logged;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SHARED_PART_SUSPECTS_H
