#include "LibOrders/order_claim.h"

#include <algorithm>
#include <array>

namespace spindle {

/// Header fields that apply to a single connection or to the framing of a
/// single message; they are not stored.
static constexpr std::array<std::string_view, 8> ConnectionFields{
    "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "Trailer",    "Upgrade",           "Date"};

static claim_status evaluateForeignRecord(const order_record &Stored,
                                          wall_time Now) {
  switch (Stored.State) {
  case order_state::Done:
    return Stored.ResponseStored ? claim_status::Replay
                                 : claim_status::ResponseNotStored;
  case order_state::Unknown:
    return claim_status::OutcomeUnknown;
  case order_state::Released:
    return claim_status::Claimable;
  case order_state::Claimed:
    break;
  }
  return Now < Stored.InProgressUntil ? claim_status::InProgress
                                      : claim_status::OutcomeUnknown;
}

claim_status evaluateRecord(const order_record &Stored,
                            const order_attempt &Attempt, bool HolderAbandoned,
                            wall_time Now) {
  if (Stored.Nonce == Attempt.Nonce && Stored.State == order_state::Claimed)
    return claim_status::OwnClaim;
  if (Stored.State == order_state::Claimed && HolderAbandoned)
    return claim_status::Claimable;
  if (Stored.State == order_state::Released)
    return claim_status::Claimable;
  if (Stored.BodyDigest != Attempt.BodyDigest)
    return claim_status::KeyMismatch;
  return evaluateForeignRecord(Stored, Now);
}

bool mayDispatch(time_point ClaimSentAt, milliseconds DispatchWindow,
                 time_point Now) {
  return Now < ClaimSentAt + DispatchWindow;
}

order_record makeClaimRecord(const order_attempt &Attempt,
                             milliseconds CallTimeout,
                             milliseconds DispatchWindow, wall_time Now) {
  const milliseconds MaxDuration = DispatchWindow + CallTimeout;
  order_record Record;
  Record.Nonce = Attempt.Nonce;
  Record.BodyDigest = Attempt.BodyDigest;
  Record.ClaimedAt = Now;
  Record.InProgressUntil = {Now.Milliseconds + MaxDuration.count()};
  return Record;
}

static bool isStoredField(const http_field &Field) {
  return std::none_of(ConnectionFields.begin(), ConnectionFields.end(),
                      [&Field](std::string_view Name) {
                        return sameFieldName(Field.Name, Name);
                      });
}

static std::size_t sizeOf(const http_response &Response) {
  std::size_t Bytes = Response.Body.size();
  for (const http_field &Field : Response.Head.Fields)
    Bytes += Field.Name.size() + Field.Value.size();
  return Bytes;
}

order_record makeDoneRecord(const order_record &Claim,
                            const http_response &Response,
                            std::size_t LimitBytes) {
  order_record Record = Claim;
  Record.State = order_state::Done;
  Record.ResponseStored = sizeOf(Response) <= LimitBytes;
  if (!Record.ResponseStored)
    return Record;
  Record.Response = Response;
  std::erase_if(Record.Response.Head.Fields,
                [](const http_field &Field) { return !isStoredField(Field); });
  return Record;
}

std::vector<record_age> expiredRecords(std::span<const record_age> Records,
                                       seconds Retention, wall_time Now) {
  std::vector<record_age> Sorted(Records.begin(), Records.end());
  std::sort(Sorted.begin(), Sorted.end(),
            [](const record_age &Left, const record_age &Right) {
              return Left.Version < Right.Version;
            });
  wall_time Newest;
  for (record_age &Record : Sorted) {
    Newest = std::max(Newest, Record.ClaimedAt);
    Record.ClaimedAt = Newest;
  }
  const wall_time EffectiveNow = std::min(Now, Newest);
  const std::int64_t RetentionMilliseconds = milliseconds(Retention).count();
  std::erase_if(Sorted, [&](const record_age &Record) {
    return EffectiveNow.Milliseconds - Record.ClaimedAt.Milliseconds <
           RetentionMilliseconds;
  });
  return Sorted;
}

} // namespace spindle
