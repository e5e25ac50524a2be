#ifndef PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H
#define PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// A running mean of a latency and of how far it strays.
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
  /// Deadlines never get shorter than these.
  call_deadlines Least{milliseconds(5'000), milliseconds(2'000)};
  /// Deadlines follow the measured latency after this many samples.
  std::uint32_t LeastSamples = 32;
  /// A connection idle for longer is probed before it is used again.
  milliseconds ProbeIdleAfter{15'000};
  /// How long a probe's answer may take.
  milliseconds ProbeTimeout{1'000};
  /// How long a peer that fell silent is passed over for others.
  milliseconds DoubtTime{15'000};
  /// How long a peer whose connection was lost is passed over, unless it is
  /// heard before.
  milliseconds LostTime{3'000};
};

/// What is known of the connections to one peer. Changed through the functions
/// below only; none of them is thread-safe.
struct peer_health {
  peer_health_settings Settings;
  latency_estimate FirstByte;
  latency_estimate BetweenBytes;
  /// How many times the adapted deadlines are doubled: once for each that
  /// passed, until enough answers have come in time again.
  std::uint32_t Widened = 0;
  std::uint32_t AnswersSinceSilence = 0;
  time_point LastHeard;
  /// When the connection to the peer was last lost while a call ran, unless
  /// the peer was heard since.
  time_point LostAt;
  /// Whether a deadline passed and nothing was heard since.
  bool Suspect = false;
  /// Until when others are preferred to a suspect peer.
  time_point DoubtedUntil;
};

/// What to do about the connections to a peer.
enum class connection_advice {
  /// Nothing is wrong.
  Keep,
  /// Close the connection, use no idle one of the peer again, and try a new
  /// connection.
  VerifyPool,
  /// New connections fail as well: the peer is down.
  PeerDown,
};

/// Which connection a call may use.
enum class connection_choice { Pooled, Fresh };

/// Notes the time from the request's last byte to the answer's first.
void noteFirstByte(peer_health &Health, nanoseconds Latency, time_point Now);
/// Notes the time between two parts of an answer.
void noteNextBytes(peer_health &Health, nanoseconds Gap, time_point Now);
/// The deadlines for a call, adapted from measured latency, never longer than
/// the route's.
call_deadlines deadlinesFor(const peer_health &Health,
                            const call_deadlines &Route);
/// Notes that a deadline passed and says what to do. Every connection that was
/// open then is in doubt; so is the deadline, which doubles, as a peer may be
/// slow and not silent.
connection_advice noteSilence(peer_health &Health);
/// Notes whether the new connection tried after VerifyPool answered. If it
/// did within \p Deadline, the silent connection was lost on the way and the
/// deadline was right.
connection_advice noteVerified(peer_health &Health, bool Answered,
                               nanoseconds Latency, nanoseconds Deadline,
                               time_point Now);
/// Which connection a call may use: calls that may not be repeated, and all
/// calls to a suspect peer, only a new one. Thread-safe for readers.
connection_choice chooseConnection(const peer_health &Health, bool Idempotent);
/// Notes that the peer, just found silent, is passed over for a while.
void noteDoubted(peer_health &Health, time_point Now);
/// Tells whether another peer is preferred, as a call to this one passed its
/// deadline lately and nothing was heard since. Thread-safe for readers.
bool isDoubted(const peer_health &Health, time_point Now);
/// Notes that the connection was lost while a call ran.
void noteLost(peer_health &Health, time_point Now);
/// Tells whether the peer was lost a short while ago and not heard since; it
/// is used only if no other is left.
bool isLost(const peer_health &Health, time_point Now);
/// Tells whether idle connections of the peer should be probed. Thread-safe
/// for readers.
bool probeDue(const peer_health &Health, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_PEER_HEALTH_H
