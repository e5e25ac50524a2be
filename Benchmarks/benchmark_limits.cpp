// Measures what admission by shares costs a host.

#include "LibCore/result_code.h"
#include "LibHost/rate_limiter.h"
#include "LibLog/log.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

using namespace spindle;

namespace {

constexpr int PeerCount = 369;

/// A host among 370 with \p CustomerCount customers whose shares are full.
struct limited_host {
  explicit limited_host(std::int64_t CustomerCount) {
    startLogging({log_severity::Error, false});
    Clock.pause();
    host_link_port Link;
    Link.Borrow = [](const endpoint &, const host_link::BorrowRequest &,
                     milliseconds) { return host_link::BorrowReply(); };
    host_link::Sender Self;
    Self.set_host(1);
    Self.set_zone(1);
    Self.set_incarnation(1);
    rate_limiter_settings Settings;
    Settings.AdmissionWait = milliseconds(0);
    Limiter =
        std::make_unique<rate_limiter>(Clock, Link, Self, nullptr, Settings);
    std::vector<customer_declaration> Customers;
    for (std::int64_t Index = 0; Index < CustomerCount; ++Index) {
      customer_declaration Customer;
      Customer.Name = "customer" + std::to_string(Index);
      Customer.Rate = {1e9};
      Customer.Burst = {1'000'000'000};
      Customers.push_back(Customer);
      Ids.push_back(customer_id::ofName(Customer.Name));
    }
    Limiter->applyCustomers(Customers);
    host_view View;
    for (std::uint64_t Peer = 0; Peer < PeerCount; ++Peer)
      View.Peers.push_back({host_id{Peer + 2}, "", zone_id{Peer % 10}, {}});
    View.Share = {1'000'000, 1, Clock.now() + std::chrono::hours(24)};
    Limiter->applyView(View);
    Clock.advance(seconds(10));
    Limiter->maintain();
    Clock.advance(seconds(10));
  }

  runtime_clock Clock;
  std::vector<customer_id> Ids;
  std::unique_ptr<rate_limiter> Limiter;
};

void reserveAndSettle(benchmark::State &State) {
  limited_host Host(State.range(0));
  std::size_t Index = 0;
  for (auto _ : State) {
    const customer_id Customer = Host.Ids[Index++ % Host.Ids.size()];
    rate_reservation Reservation =
        Host.Limiter->reserve(Customer, {400}, Host.Clock.now());
    Host.Limiter->settle(std::move(Reservation), {300});
    Host.Clock.advance(nanoseconds(10'000));
  }
}
BENCHMARK(reserveAndSettle)->Arg(5)->Arg(500);

void maintain(benchmark::State &State) {
  limited_host Host(State.range(0));
  for (auto _ : State) {
    Host.Clock.advance(milliseconds(100));
    Host.Limiter->maintain();
  }
}
BENCHMARK(maintain)->Arg(5)->Arg(500);

/// A request whose share is empty and that eight of 369 peers lend nothing.
void refuseAfterAsking(benchmark::State &State) {
  limited_host Host(1);
  const tokens Whole{1'000'000'000};
  Host.Limiter->reserve(Host.Ids[0], Whole, Host.Clock.now());
  for (auto _ : State) {
    Host.Clock.advance(milliseconds(600));
    try {
      Host.Limiter->reserve(Host.Ids[0], Whole, Host.Clock.now());
    } catch (const spindle_error &) {
      continue;
    }
  }
}
BENCHMARK(refuseAfterAsking);

void lendAndTakeBack(benchmark::State &State) {
  limited_host Host(5);
  host_link::BorrowRequest Request;
  Request.mutable_sender()->set_host(2);
  Request.set_customer(Host.Ids[0].Value);
  Request.set_wanted_tokens(100);
  Request.set_term_ms(100);
  std::uint64_t Nonce = 0;
  std::size_t Bytes = 0;
  for (auto _ : State) {
    Request.set_nonce(++Nonce);
    const host_link::BorrowReply Reply = Host.Limiter->handleBorrow(Request);
    host_link::RepayRequest Repay;
    *Repay.mutable_sender() = Request.sender();
    Repay.set_customer(Request.customer());
    Repay.set_nonce(Nonce);
    Repay.set_level_tokens(Reply.level_tokens());
    Host.Limiter->handleRepay(Repay);
    Host.Clock.advance(milliseconds(10));
    Bytes = Request.ByteSizeLong() + Reply.ByteSizeLong();
  }
  State.counters["borrowBytes"] = double(Bytes);
}
BENCHMARK(lendAndTakeBack);

/// The memory of a customer's share at its largest.
void shareMemory(benchmark::State &State) {
  std::size_t Bytes = 0;
  for (auto _ : State) {
    customer_share Share;
    Share.Lent.resize(10);
    Share.Borrowed.resize(10);
    for (int Mark = 0; Mark < 100; ++Mark)
      noteSlack(Share.History, {Mark});
    Bytes = sizeof(Share) + Share.Lent.capacity() * sizeof(lent_loan) +
            Share.Borrowed.capacity() * sizeof(borrowed_loan) +
            Share.History.Samples.capacity() * sizeof(slack_history::sample);
    benchmark::DoNotOptimize(Share);
  }
  State.counters["bytes"] = double(Bytes);
}
BENCHMARK(shareMemory);

} // namespace

BENCHMARK_MAIN();
