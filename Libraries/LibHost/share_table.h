#ifndef PARSLEYSPINDLE_LIBHOST_SHARE_TABLE_H
#define PARSLEYSPINDLE_LIBHOST_SHARE_TABLE_H

#include "LibLimits/customer_share.h"
#include "LibLimits/lender_choice.h"

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace spindle {

/// What a share limits. The values are sent between hosts.
enum class bucket_kind : std::uint32_t {
  CustomerTokens = 0,
  LoadRate = 1,
  LoadsInFlight = 2
};

struct bucket_id {
  customer_id Customer;
  bucket_kind Kind = bucket_kind::CustomerTokens;

  auto operator<=>(const bucket_id &) const = default;
};

struct bucket_id_hash {
  std::size_t operator()(const bucket_id &Id) const noexcept {
    constexpr std::uint64_t OddMultiplier = 0x9E3779B97F4A7C15;
    const std::uint64_t Kind = static_cast<std::uint32_t>(Id.Kind);
    return static_cast<std::size_t>(Id.Customer.Value ^ (Kind * OddMultiplier));
  }
};

/// This host's share of one bucket, and the fleet-wide rate and burst.
struct share_entry {
  customer_share Share;
  std::string Name;
  micro_rate FleetRate;
  micro_tokens FleetBurst;
  /// Distinguishes reservations made from an earlier entry of the same
  /// customer.
  std::uint64_t Epoch = 0;
  std::unordered_map<host_id, lender_hint> Hints;
  /// After a round in which the peers together granted too little, no peer is
  /// asked before this time; the back-off doubles with each such round.
  time_point NextRoundAt;
  milliseconds RoundBackoff{0};
  /// No proactive loan request is sent before this time.
  time_point NextProactiveBorrowAt;
  /// Whether a fiber is borrowing from peers for this share.
  bool IsBorrowing = false;
};

/// The shares of all customers, divided into shards with one lock each. Every
/// method is thread-safe; \p Work runs under its shard's lock, must not block
/// and must not call the table.
class share_table {
public:
  using work = std::function<void(const bucket_id &, share_entry &)>;

  /// Runs \p Work on the entry if it exists; returns whether it does.
  bool with(const bucket_id &Id,
            const std::function<void(share_entry &)> &Work);
  /// Runs \p Work on the entry, which is inserted if it doesn't exist.
  void withOrInsert(const bucket_id &Id,
                    const std::function<void(share_entry &)> &Work);
  /// Runs \p Work on every entry, one shard after the other.
  void forEach(const work &Work);
  /// Removes the entries for which \p Remove returns true.
  void removeIf(const std::function<bool(const bucket_id &,
                                         const share_entry &)> &Remove);

private:
  struct shard {
    std::mutex Mutex;
    std::unordered_map<bucket_id, share_entry, bucket_id_hash> Entries;
  };
  static constexpr std::size_t ShardCount = 16;

  shard &shardOf(const bucket_id &Id);

  std::array<shard, ShardCount> Shards;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SHARE_TABLE_H
