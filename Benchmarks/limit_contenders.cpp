#include "limit_contenders.h"

#include "LibCore/result_code.h"

namespace spindle {

static constexpr std::uint32_t EvenParts = 1'000'000 / HostCount;
static constexpr seconds ShareValidity{7'200};

limit_contender makeBuckets(std::string Name, std::size_t Count, double Part,
                            const limit_scenario &Scenario,
                            const runtime_clock &Clock) {
  struct ticket {
    std::size_t Bucket = 0;
    std::uint64_t ChargeSequence = 0;
    micro_tokens Charged;
  };
  struct state {
    std::vector<customer_share> Shares;
    std::map<std::size_t, ticket> Tickets;
  };
  const std::shared_ptr<state> State = std::make_shared<state>();
  State->Shares.resize(Count);
  for (customer_share &Share : State->Shares) {
    Share.LastRefill = Clock.now();
    setBaseShare(Share, toMicro(token_rate{Scenario.Rate * Part}),
                 toMicro(tokens{std::int64_t(double(Scenario.Burst) * Part)}),
                 time_point::max(), Clock.now());
  }
  limit_contender Contender;
  Contender.Name = std::move(Name);
  Contender.Reserve = [State, Count, &Clock](std::size_t Host, std::size_t Id,
                                             tokens Amount) {
    const std::size_t Bucket = Host % Count;
    const std::optional<std::uint64_t> ChargeSequence =
        tryCharge(State->Shares[Bucket], toMicro(Amount), Clock.now());
    if (ChargeSequence)
      State->Tickets[Id] = {Bucket, *ChargeSequence, toMicro(Amount)};
    return ChargeSequence.has_value();
  };
  Contender.Settle = [State, &Clock](std::size_t Id, tokens Used) {
    const auto Found = State->Tickets.find(Id);
    if (Found == State->Tickets.end())
      return;
    const ticket Ticket = Found->second;
    State->Tickets.erase(Found);
    settleCharge(State->Shares[Ticket.Bucket], Ticket.ChargeSequence,
                 Ticket.Charged, toMicro(Used), Clock.now());
  };
  return Contender;
}

escrow_fleet::escrow_fleet(const limit_scenario &Scenario,
                           const runtime_clock &Clock)
    : Clock(Clock) {
  customer_declaration Customer;
  Customer.Name = "customer";
  Customer.Rate = {Scenario.Rate};
  Customer.Burst = {Scenario.Burst};
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    host_link::Sender Self;
    Self.set_host(Host + 1);
    Self.set_zone(Zones[Host]);
    Self.set_incarnation(1);
    rate_limiter_settings Settings;
    Settings.AdmissionWait = milliseconds(0);
    Limiters.push_back(std::make_unique<rate_limiter>(Clock, linkOf(Host), Self,
                                                      nullptr, Settings));
    Limiters.back()->applyCustomers({&Customer, 1});
  }
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    applyView(Host, EvenParts);
}

void escrow_fleet::applyView(std::size_t Host, std::uint32_t Parts) {
  host_view View;
  for (std::size_t Peer = 0; Peer < HostCount; ++Peer)
    if (Peer != Host && Peer != Lost)
      View.Peers.push_back({host_id{Peer + 1}, "", zone_id{Zones[Peer]},
                            endpoint{"", std::uint16_t(Peer)}});
  View.Share = {Parts, 1, Clock.now() + ShareValidity};
  Limiters[Host]->applyView(View);
}

void escrow_fleet::reassignLost() {
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (Host != Lost)
      applyView(Host, 1'000'000 / (HostCount - 1));
}

void escrow_fleet::maintain() {
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (Host != Lost)
      Limiters[Host]->maintain();
}

limit_contender escrow_fleet::asContender() {
  limit_contender Contender;
  Contender.Name = "escrow";
  Contender.Reserve = [this](std::size_t Host, std::size_t Id, tokens Amount) {
    try {
      Reservations[Id] = {
          Host, Limiters[Host]->reserve(customer_id::ofName("customer"), Amount,
                                        Clock.now() + seconds(10))};
      return true;
    } catch (const spindle_error &) {
      return false;
    }
  };
  Contender.Settle = [this](std::size_t Id, tokens Used) {
    const auto Found = Reservations.find(Id);
    if (Found == Reservations.end())
      return;
    Limiters[Found->second.first]->settle(std::move(Found->second.second),
                                          Used);
    Reservations.erase(Found);
  };
  return Contender;
}

void escrow_fleet::checkReachable(std::size_t From, std::size_t To) const {
  const bool Apart = (Zones[From] == Cut) != (Zones[To] == Cut);
  if (To == Lost || Apart)
    throw spindle_error(result_code::PeerUnreachable, "cut off");
}

host_link_port escrow_fleet::linkOf(std::size_t From) {
  host_link_port Link;
  Link.Borrow = [this, From](const endpoint &Peer,
                             const host_link::BorrowRequest &Request,
                             milliseconds) {
    ++Messages;
    Bytes += Request.ByteSizeLong();
    checkReachable(From, Peer.Port);
    host_link::BorrowReply Reply = Limiters[Peer.Port]->handleBorrow(Request);
    Bytes += Reply.ByteSizeLong();
    return Reply;
  };
  Link.Repay = [this, From](const endpoint &Peer,
                            const host_link::RepayRequest &Request,
                            milliseconds) {
    checkReachable(From, Peer.Port);
    return Limiters[Peer.Port]->handleRepay(Request);
  };
  return Link;
}

} // namespace spindle
