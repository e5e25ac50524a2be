#ifndef PARSLEYSPINDLE_LIBHOST_ORDER_RECORD_STORE_H
#define PARSLEYSPINDLE_LIBHOST_ORDER_RECORD_STORE_H

#include "LibOrders/order_claim.h"
#include "LibPlatform/platform_port.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spindle {

/// A claim, or the record that replaces it, and its version at the platform.
struct confirmed_claim {
  std::string Name;
  std::uint64_t Version = 0;
  order_record Record;
};

/// The result of one write to the platform.
enum class write_result { Written, Conflict, NoResponse };

/// Reads and writes single records of orders at the platform. Thread-safe; each
/// method blocks the calling fiber, and none throws if the platform does not
/// answer.
class order_record_store {
public:
  explicit order_record_store(platform_port Platform)
      : Platform(std::move(Platform)) {}

  /// Creates the record, or replaces it if it still has \p OldVersion. Sets
  /// the claim's version if that succeeds.
  write_result tryWrite(confirmed_claim &Claim,
                        const std::optional<std::uint64_t> &OldVersion) const;
  /// Reads a record; \p Answered is set to whether the platform answered.
  std::optional<platform_object> tryRead(std::string_view Name,
                                         bool &Answered) const;
  /// Tries to write an outcome. Returns false if the write must be retried.
  bool writeOutcome(confirmed_claim &Claim) const;
  /// Releases a claim that was not followed by a dispatch. Returns false if the
  /// claim must be checked again: a missing record may still be written by a
  /// delayed request.
  bool releaseClaim(const std::string &Nonce, const std::string &Name) const;

private:
  const platform_port Platform;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ORDER_RECORD_STORE_H
