#include "LibGateway/shared_suspects.h"

#include "LibGateway/sync_message.h"

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

void shared_suspects::write(messages &Messages) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const suspect_record &Record : takeUnshared(Suspects, Clock.now()))
    Announced[Record.Fingerprint] = Record;
  for (const auto &[Fingerprint, Record] : Announced)
    writeSuspect(Record, *Messages.Add());
}

void shared_suspects::merge(const messages &Messages) {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const host_link::Suspect &Message : Messages) {
    const suspect_record Record = readSuspect(Message);
    if (mergeSuspects(Suspects, std::span(&Record, 1), Now))
      Announced[Record.Fingerprint] = Record;
  }
  expireSuspects(Suspects, Now);
  std::erase_if(Announced, [this](const auto &Entry) {
    return !Suspects.Suspects.contains(Entry.first);
  });
}

} // namespace spindle
