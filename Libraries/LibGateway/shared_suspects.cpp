#include "LibGateway/shared_suspects.h"

#include "LibGateway/sync_message.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace spindle {

bool shared_suspects::isHeldBack(request_fingerprint Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return isQuarantined(Suspects, Fingerprint, Clock.now());
}

void shared_suspects::noteRunStarted(upstream_id Upstream,
                                     request_fingerprint Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteRunStarted(Suspects, Upstream, Fingerprint, Clock.now());
}

void shared_suspects::noteRunEnded(upstream_id Upstream,
                                   request_fingerprint Fingerprint,
                                   run_end End) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteRunEnded(Suspects, Upstream, Fingerprint, End, Clock.now());
}

/// The suspects for one message. An exchange must stay small, as it is also the
/// sign that a leader responds.
/// Precondition: Mutex is held.
std::vector<const shared_suspects::announced_suspect *>
shared_suspects::mostCrashed() const {
  static constexpr std::size_t MaxSuspects = 256;
  std::vector<const announced_suspect *> Suspects;
  Suspects.reserve(Announced.size());
  for (const auto &[Fingerprint, Suspect] : Announced)
    Suspects.push_back(&Suspect);
  const auto Rank = [](const announced_suspect &Suspect) {
    return std::pair(Suspect.Record.Lost.size(), Suspect.LastChangeAt);
  };
  const std::size_t Count = std::min(Suspects.size(), MaxSuspects);
  std::partial_sort(
      Suspects.begin(), Suspects.begin() + static_cast<std::ptrdiff_t>(Count),
      Suspects.end(),
      [&Rank](const announced_suspect *Left, const announced_suspect *Right) {
        return Rank(*Left) > Rank(*Right);
      });
  Suspects.resize(Count);
  return Suspects;
}

void shared_suspects::write(messages &Messages) {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const suspect_record &Record : takeUnshared(Suspects, Now))
    Announced[Record.Fingerprint] = {Record, Now};
  for (const announced_suspect *const Suspect : mostCrashed())
    writeSuspect(Suspect->Record, *Messages.Add());
}

void shared_suspects::merge(const messages &Messages) {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const host_link::Suspect &Message : Messages) {
    const suspect_record Record = readSuspect(Message);
    if (mergeSuspects(Suspects, std::span(&Record, 1), Now))
      Announced[Record.Fingerprint] = {Record, Now};
  }
  expireSuspects(Suspects, Now);
  std::erase_if(Announced, [this](const auto &Entry) {
    return !Suspects.Suspects.contains(Entry.first);
  });
}

} // namespace spindle
