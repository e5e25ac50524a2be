#ifndef PARSLEYSPINDLE_LIBHOST_SHARE_LENDER_H
#define PARSLEYSPINDLE_LIBHOST_SHARE_LENDER_H

#include "LibHost/share_table.h"
#include "LibLimits/lending_policy.h"
#include "LibMembership/host_view.h"
#include "LibPeer/host_link_client.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <vector>

namespace spindle {

struct rate_limiter_settings;

enum class borrow_outcome {
  /// Peers were asked; the loans they granted have been added.
  Asked,
  /// No peer is to be asked before the back-off ends.
  BackingOff,
  /// Another fiber is borrowing for the same share.
  BorrowInProgress
};

/// Lends shares to other hosts and borrows from them. Every method is
/// thread-safe.
class share_lender {
public:
  /// \p Clock, \p Table and \p Settings must outlive the lender.
  share_lender(const runtime_clock &Clock, host_link_port Link,
               host_link::Sender Self, share_table &Table,
               const rate_limiter_settings &Settings);

  /// Sets the peers, those of this host's zone first.
  void setPeers(std::span<const peer_host> NewPeers);
  /// Asks peers in turn until \p Enough, called under the share's lock after
  /// each grant, returns true, or \p End has passed. Blocks the calling fiber.
  borrow_outcome
  borrowForRequest(const bucket_id &Id, micro_tokens Amount, time_point End,
                   const std::function<bool(share_entry &)> &Enough);
  /// Handles another host's request for a loan or for the renewal of one.
  host_link::BorrowReply handleBorrow(const host_link::BorrowRequest &Request);
  host_link::RepayReply handleRepay(const host_link::RepayRequest &Request);
  /// Renews loans, borrows in advance, and repays while draining. Blocks the
  /// calling fiber.
  void maintain();
  void startDrain();

private:
  using peer_list = std::shared_ptr<const std::vector<peer_host>>;
  /// A loan that this host has borrowed, and its bucket.
  struct held_loan {
    bucket_id Bucket;
    borrowed_loan Loan;
  };
  struct maintenance_tasks {
    std::vector<held_loan> Renewals;
    std::vector<held_loan> Repayments;
    std::vector<bucket_id> ProactiveBorrows;
  };

  peer_list peers() const;
  maintenance_tasks findMaintenanceTasks();
  std::vector<peer_host> choosePeers(const bucket_id &Id);
  bool borrowFromPeer(const peer_host &Peer, const bucket_id &Id,
                      const loan_request &LoanRequest, milliseconds Limit,
                      const std::function<bool(share_entry &)> &Enough);
  void borrowProactively(const bucket_id &Id);
  void renew(const held_loan &Held);
  void repay(const held_loan &Held);
  const peer_host *findPeer(const peer_list &Peers, host_id Host) const;

  const runtime_clock &Clock;
  host_link_port Link;
  host_link::Sender Self;
  share_table &Table;
  const rate_limiter_settings &Settings;
  std::atomic<bool> Draining{false};
  std::atomic<std::uint64_t> NextNonce{1};
  mutable std::mutex PeersMutex;
  peer_list Peers;
  std::mutex RandomMutex;
  std::mt19937_64 Random;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SHARE_LENDER_H
