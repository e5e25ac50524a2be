#ifndef PARSLEYSPINDLE_TESTS_LIBLIMITS_LIMITER_FLEET_H
#define PARSLEYSPINDLE_TESTS_LIBLIMITS_LIMITER_FLEET_H

#include "LibCore/result_code.h"
#include "LibHost/rate_limiter.h"
#include "LibLog/log.h"

#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// Several rate limiters that call each other directly, on a paused clock.
class limiter_fleet {
public:
  explicit limiter_fleet(std::size_t HostCount) {
    startLogging({log_severity::Error, false});
    Clock.pause();
    Clock.advance(seconds(1'000));
    LosesReplies.resize(HostCount);
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      Limiters.push_back(makeLimiter(Index));
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      assignShare(Index, 1'000'000 / HostCount, seconds(3'600));
  }

  std::unique_ptr<rate_limiter> makeLimiter(std::size_t Index) {
    host_link::Sender Self;
    Self.set_host(Index + 1);
    Self.set_zone(1);
    Self.set_incarnation(++Incarnations);
    rate_limiter_settings Settings;
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    return std::make_unique<rate_limiter>(Clock, link(), Self, nullptr,
                                          Settings);
  }

  /// Calls the limiter whose index is the port of the endpoint.
  host_link_port link() {
    host_link_port Link;
    Link.Borrow = [this](const endpoint &Peer,
                         const host_link::BorrowRequest &Request,
                         milliseconds) {
      host_link::BorrowReply Reply =
          Limiters.at(Peer.Port)->handleBorrow(Request);
      ++Borrows;
      if (LosesReplies[Peer.Port])
        throw spindle_error(result_code::PeerUnreachable, "answer lost");
      return Reply;
    };
    Link.Repay = [this](const endpoint &Peer,
                        const host_link::RepayRequest &Request, milliseconds) {
      return Limiters.at(Peer.Port)->handleRepay(Request);
    };
    return Link;
  }

  void assignShare(std::size_t Index, std::uint32_t Parts,
                   nanoseconds Validity) {
    host_view View;
    for (std::size_t Peer = 0; Peer < Limiters.size(); ++Peer)
      if (Peer != Index)
        View.Peers.push_back(
            {host_id{Peer + 1}, "", zone_id{1},
             endpoint{"127.0.0.1", static_cast<std::uint16_t>(Peer)}});
    View.Share = {Parts, 1, Clock.now() + Validity};
    Limiters[Index]->applyView(View);
  }

  /// Advances the clock, running maintenance every 100 ms.
  void runFor(milliseconds Duration) {
    constexpr milliseconds Step{100};
    for (milliseconds Done{0}; Done < Duration; Done += Step) {
      Clock.advance(Step);
      for (const std::unique_ptr<rate_limiter> &Limiter : Limiters)
        Limiter->maintain();
    }
  }

  void setCustomer(double Rate, std::int64_t Burst) {
    customer_declaration Customer;
    Customer.Name = "customer";
    Customer.Rate = {Rate};
    Customer.Burst = {Burst};
    for (const std::unique_ptr<rate_limiter> &Limiter : Limiters)
      Limiter->applyCustomers({&Customer, 1});
  }

  /// Tries to reserve tokens. \returns the code of the refusal, or 0.
  int reserve(std::size_t Index, std::int64_t Tokens) {
    try {
      Limiters[Index]->reserve(customer_id::ofName("customer"), {Tokens},
                               Clock.now() + seconds(60));
    } catch (const spindle_error &Error) {
      return static_cast<int>(Error.code());
    }
    return 0;
  }

  runtime_clock Clock;
  std::vector<std::unique_ptr<rate_limiter>> Limiters;
  /// Hosts whose replies are lost after the request took effect.
  std::vector<bool> LosesReplies;
  std::size_t Borrows = 0;
  std::uint64_t Incarnations = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBLIMITS_LIMITER_FLEET_H
