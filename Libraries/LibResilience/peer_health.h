#ifndef PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H
#define PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// Running estimates of a latency's mean and mean deviation.
struct latency_estimate {
  double MeanSeconds = 0;
  double DeviationSeconds = 0;
  std::uint32_t Samples = 0;
};

/// Deadlines of one call.
struct call_deadlines {
  milliseconds FirstByte{30'000};
  milliseconds BetweenBytes{10'000};
};

struct peer_health_settings {
  /// Lower limits of the adapted deadlines.
  call_deadlines MinDeadlines{milliseconds(5'000), milliseconds(2'000)};
  /// Number of samples from which deadlines are adapted to the latency, and
  /// of responses in time that reset doubled deadlines.
  std::uint32_t MinSamples = 32;
  /// Idle time after which a connection is probed before its next use.
  milliseconds ProbeIdleAfter{15'000};
  /// Time limit for the response to a probe.
  milliseconds ProbeTimeout{1'000};
  /// How long other peers are preferred to one that missed a deadline.
  milliseconds DeprioritizeTime{15'000};
  /// How long a peer is avoided after its connection was lost, unless it
  /// responds before that.
  milliseconds LossAvoidanceTime{3'000};
};

/// The health of the connections to one peer. Modified only through the
/// functions below, none of which is thread-safe.
struct peer_health {
  peer_health_settings Settings;
  latency_estimate FirstByte;
  latency_estimate BetweenBytes;
  /// How many times the adapted deadlines are doubled: once for each missed
  /// deadline, until enough responses have arrived in time again.
  std::uint32_t DeadlineDoublings = 0;
  std::uint32_t ResponsesSinceMissedDeadline = 0;
  time_point LastResponse;
  /// When the connection to the peer was last lost during a call. Has no
  /// effect if LastResponse is later.
  time_point LostAt;
  /// Whether the peer missed a deadline and has not responded since.
  bool Suspect = false;
  /// Until when other peers are preferred to this one while it is suspect.
  time_point DeprioritizedUntil;
};

/// What to do about the connections to a peer.
enum class connection_advice {
  /// Keep using the connections.
  Keep,
  /// Close the connection, discard the peer's idle connections and try a new
  /// connection.
  VerifyPool,
  /// A new connection failed too: the peer is down.
  PeerDown,
};

/// Which connection a call may use.
enum class connection_choice { Pooled, Fresh };

/// Records the time from the last byte of a request to the first byte of its
/// response.
void noteFirstByte(peer_health &Health, nanoseconds Latency, time_point Now);
/// Records the time between two parts of a response.
void noteNextBytes(peer_health &Health, nanoseconds Gap, time_point Now);
/// Returns the deadlines for a call, adapted to the measured latency and never
/// longer than the route's.
call_deadlines deadlinesFor(const peer_health &Health,
                            const call_deadlines &Route);
/// Records a missed deadline and returns what to do. All connections open at
/// that time may be dead. The deadline may also have been too short for a slow
/// peer, so adapted deadlines double.
connection_advice noteMissedDeadline(peer_health &Health);
/// Records whether the peer responded on the new connection that was tried
/// after VerifyPool. If it did within \p Deadline, the old connection was dead
/// and the deadline was right, so its doublings are reset.
connection_advice noteVerified(peer_health &Health, bool Responded,
                               nanoseconds Latency, nanoseconds Deadline,
                               time_point Now);
/// Returns which connection a call may use. Calls that must not be retried and
/// all calls to a suspect peer need a new one. Thread-safe for readers.
connection_choice chooseConnection(const peer_health &Health, bool Idempotent);
/// Deprioritizes the peer for a while after it missed a deadline.
void deprioritize(peer_health &Health, time_point Now);
/// Returns whether other peers are preferred because this one recently missed
/// a deadline and has not responded since. Thread-safe for readers.
bool isDeprioritized(const peer_health &Health, time_point Now);
/// Records that the connection was lost during a call.
void noteLost(peer_health &Health, time_point Now);
/// Returns whether the connection was lost recently and the peer has not
/// responded since. Such a peer is used only if there is no other.
bool isLost(const peer_health &Health, time_point Now);
/// Returns whether idle connections to the peer should be probed. Thread-safe
/// for readers.
bool probeDue(const peer_health &Health, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H
