#include "LibResilience/suspect_document.h"

#include <algorithm>

namespace spindle {

/// Smaller extensions of an expiry are ignored to save writes to the platform.
static constexpr std::int64_t LeastProlongationMs = 1'000;

static bool mergeRecord(documented_suspect &Suspect,
                        const suspect_record &Record, wall_time Now) {
  bool Changed = false;
  for (const upstream_id Upstream : Record.Lost) {
    const auto Place =
        std::lower_bound(Suspect.Lost.begin(), Suspect.Lost.end(), Upstream);
    if (Place != Suspect.Lost.end() && *Place == Upstream)
      continue;
    Suspect.Lost.insert(Place, Upstream);
    Changed = true;
  }
  const std::int64_t ExpiresAt = Now.Milliseconds + Record.Remaining.count();
  if (ExpiresAt < Suspect.ExpiresAt.Milliseconds + LeastProlongationMs)
    return Changed;
  Suspect.ExpiresAt = {ExpiresAt};
  return true;
}

static void dropFirstToExpire(suspect_document &Document) {
  const auto First = std::min_element(
      Document.begin(), Document.end(),
      [](const auto &Left, const auto &Right) {
        const bool LeftHeld = Left.second.Lost.size() >= LossesForQuarantine;
        const bool RightHeld = Right.second.Lost.size() >= LossesForQuarantine;
        if (LeftHeld != RightHeld)
          return RightHeld;
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
  while (Document.size() > MostDocumentedSuspects)
    dropFirstToExpire(Document);
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
