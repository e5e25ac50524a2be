#include "LibResilience/suspect_document.h"

#include <algorithm>

namespace spindle {

/// Smaller extensions of an expiry are ignored to save writes to the platform.
static constexpr std::int64_t MinExtensionMs = 1'000;

static bool mergeRecord(stored_suspect &Suspect, const suspect_record &Record,
                        wall_time Now) {
  bool Changed = false;
  for (const upstream_id Upstream : Record.Lost) {
    const auto Position =
        std::lower_bound(Suspect.Lost.begin(), Suspect.Lost.end(), Upstream);
    if (Position != Suspect.Lost.end() && *Position == Upstream)
      continue;
    Suspect.Lost.insert(Position, Upstream);
    Changed = true;
  }
  const std::int64_t ExpiresAt = Now.Milliseconds + Record.Remaining.count();
  if (ExpiresAt < Suspect.ExpiresAt.Milliseconds + MinExtensionMs)
    return Changed;
  Suspect.ExpiresAt = {ExpiresAt};
  return true;
}

static void evictFirstToExpire(suspect_document &Document) {
  const auto First =
      std::min_element(Document.begin(), Document.end(),
                       [](const auto &Left, const auto &Right) {
                         const bool LeftQuarantined =
                             Left.second.Lost.size() >= LossesForQuarantine;
                         const bool RightQuarantined =
                             Right.second.Lost.size() >= LossesForQuarantine;
                         if (LeftQuarantined != RightQuarantined)
                           return RightQuarantined;
                         return Left.second.ExpiresAt < Right.second.ExpiresAt;
                       });
  Document.erase(First);
}

bool mergeIntoDocument(suspect_document &Document,
                       const std::vector<suspect_record> &Records,
                       wall_time Now) {
  std::erase_if(Document, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  bool Changed = false;
  for (const suspect_record &Record : Records)
    Changed = mergeRecord(Document[Record.Fingerprint], Record, Now) || Changed;
  while (Document.size() > MaxStoredSuspects)
    evictFirstToExpire(Document);
  return Changed;
}

std::vector<suspect_record> recordsOf(const suspect_document &Document,
                                      wall_time Now) {
  std::vector<suspect_record> Records;
  for (const auto &[Fingerprint, Suspect] : Document) {
    const milliseconds Remaining(Suspect.ExpiresAt.Milliseconds -
                                 Now.Milliseconds);
    if (Remaining > milliseconds(0))
      Records.push_back({Fingerprint, Suspect.Lost, Remaining});
  }
  return Records;
}

} // namespace spindle
