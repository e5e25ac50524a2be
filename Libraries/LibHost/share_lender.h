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
  /// Peers were asked; what they granted has been added.
  Asked,
  /// No peer is worth asking at present.
  NobodyToAsk,
  /// Another fiber is asking for the same share.
  OtherFiberAsks
};

/// Lends to other hosts and borrows from them. Thread-safe in every method.
class share_lender {
public:
  /// \p Clock, \p Table and \p Settings must outlive the lender.
  share_lender(const runtime_clock &Clock, host_link_port Link,
               host_link::Sender Self, share_table &Table,
               const rate_limiter_settings &Settings);

  /// Takes over the peers, those of the own zone first.
  void setPeers(std::span<const peer_host> NewPeers);
  /// Asks peers in turn until \p Enough, called under the share's lock after
  /// each grant, returns true, or \p End has come. Blocks the calling fiber.
  borrow_outcome
  borrowForRequest(const bucket_id &Id, micro_tokens Amount, time_point End,
                   const std::function<bool(share_entry &)> &Enough);
  /// Answers another host that asks for a loan, or for its renewal.
  host_link::BorrowReply handleBorrow(const host_link::BorrowRequest &Request);
  host_link::RepayReply handleRepay(const host_link::RepayRequest &Request);
  /// Renews loans, asks ahead, and repays while draining. Blocks the calling
  /// fiber.
  void maintain();
  void startDrain();

private:
  using peer_list = std::shared_ptr<const std::vector<peer_host>>;
  /// A loan held by this host, and what is to be done about it.
  struct held_loan {
    bucket_id Bucket;
    borrowed_loan Loan;
  };
  struct chores {
    std::vector<held_loan> Renewals;
    std::vector<held_loan> Repayments;
    std::vector<bucket_id> Hungry;
  };

  peer_list peers() const;
  chores findChores();
  std::vector<peer_host> choosePeers(const bucket_id &Id);
  bool askPeer(const peer_host &Peer, const bucket_id &Id,
               const loan_request &LoanRequest, milliseconds Limit,
               const std::function<bool(share_entry &)> &Enough);
  void askAhead(const bucket_id &Id);
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
