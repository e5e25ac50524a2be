#include "LibGateway/shared_suspects.h"

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

void lose(shared_suspects &Suspects, request_fingerprint Request,
          std::uint64_t Upstream) {
  Suspects.noteRunStarted(upstream_id{Upstream}, Request);
  Suspects.noteRunEnded(upstream_id{Upstream}, Request, run_end::Lost);
}

} // namespace

TEST_CASE("lost requests outgrow the exchange between hosts") {
  runtime_clock Clock;
  Clock.pause();
  shared_suspects Suspects(Clock);
  const request_fingerprint Crashing{1};
  lose(Suspects, Crashing, 1);
  lose(Suspects, Crashing, 2);
  shared_suspects::messages Messages;
  constexpr std::uint64_t Last = 2'000;
  for (std::uint64_t Request = 2; Request <= Last; ++Request) {
    Clock.advance(milliseconds(10));
    lose(Suspects, request_fingerprint{Request}, 3);
    Messages.Clear();
    Suspects.write(Messages);
  }
  REQUIRE(Messages.size() <= 256);
  shared_suspects Peer(Clock);
  lose(Peer, request_fingerprint{Last}, 4);
  Peer.merge(Messages);
  REQUIRE(Peer.isHeldBack(Crashing));
  REQUIRE(Peer.isHeldBack(request_fingerprint{Last}));
}
