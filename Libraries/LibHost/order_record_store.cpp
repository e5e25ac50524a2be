#include "LibHost/order_record_store.h"

#include "LibCore/result_code.h"

namespace spindle {

write_result order_record_store::tryWrite(
    confirmed_claim &Claim,
    const std::optional<std::uint64_t> &OldVersion) const {
  const std::string Body = toJson(Claim.Record);
  try {
    Claim.Version =
        OldVersion ? Platform.Update(platform_kind::Orders, Claim.Name,
                                     *OldVersion, Body)
                   : Platform.Create(platform_kind::Orders, Claim.Name, Body);
    return write_result::Written;
  } catch (const spindle_error &Error) {
    const bool Conflict = Error.code() == result_code::PlatformConflict ||
                          Error.code() == result_code::PlatformNotFound;
    return Conflict ? write_result::Conflict : write_result::NoResponse;
  }
}

std::optional<platform_object>
order_record_store::tryRead(std::string_view Name, bool &Answered) const {
  try {
    std::optional<platform_object> Object =
        Platform.Get(platform_kind::Orders, Name);
    Answered = true;
    return Object;
  } catch (const spindle_error &) {
    Answered = false;
    return std::nullopt;
  }
}

bool order_record_store::writeOutcome(confirmed_claim &Claim) const {
  const write_result Result = tryWrite(Claim, Claim.Version);
  if (Result == write_result::Written)
    return true;
  bool Answered = false;
  const std::optional<platform_object> Object = tryRead(Claim.Name, Answered);
  if (!Answered)
    return false;
  if (!Object)
    return true;
  const order_record Stored = parseOrderRecord(Object->Body);
  const bool StillClaimed = Stored.Nonce == Claim.Record.Nonce &&
                            Stored.State == order_state::Claimed;
  Claim.Version = Object->Version;
  return !StillClaimed;
}

bool order_record_store::releaseClaim(const std::string &Nonce,
                                      const std::string &Name) const {
  bool Answered = false;
  const std::optional<platform_object> Object = tryRead(Name, Answered);
  if (!Answered || !Object)
    return false;
  confirmed_claim Claim{Name, Object->Version, parseOrderRecord(Object->Body)};
  if (Claim.Record.Nonce != Nonce)
    return true;
  if (Claim.Record.State != order_state::Claimed)
    return true;
  Claim.Record.State = order_state::Released;
  return writeOutcome(Claim);
}

} // namespace spindle
