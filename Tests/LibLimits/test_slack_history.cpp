#include "LibLimits/customer_share.h"

#include <catch2/catch.hpp>

using namespace spindle;

static constexpr time_point Start{seconds(1'000)};

static customer_share fullShare(std::int64_t PerSecond, std::int64_t Capacity) {
  customer_share Share;
  Share.LastRefill = Start;
  setBaseShare(Share, {PerSecond * MicrosPerToken}, toMicro(tokens{Capacity}),
               time_point::max(), Start);
  const milliseconds Filling(1'000 * Capacity / PerSecond);
  advanceShare(Share, Start + Filling);
  REQUIRE(Share.Level == toMicro(tokens{Capacity}));
  return Share;
}

TEST_CASE("An unused reservation is credited only where it had room") {
  customer_share Share = fullShare(100, 1'000);
  const time_point Full = Start + seconds(10);
  const micro_tokens Amount = toMicro(tokens{1'000});
  const std::optional<std::uint64_t> First = tryCharge(Share, Amount, Full);
  REQUIRE(First);
  SECTION("at once, all of it") {
    settleCharge(Share, *First, Amount, toMicro(tokens{200}), Full);
    CHECK(Share.Level == toMicro(tokens{800}));
  }
  SECTION("after the bucket was full again and spent, none of it") {
    const time_point Later = Full + seconds(10);
    REQUIRE(tryCharge(Share, Amount, Later));
    settleCharge(Share, *First, Amount, {}, Later);
    CHECK(Share.Level == micro_tokens{});
  }
}

TEST_CASE("A loan is not renewed out of a base share that has shrunk") {
  customer_share Share = fullShare(100, 1'000);
  const time_point Then = Start + seconds(10);
  const loan_key Key{host_id{2}, 1, 1};
  const loan_amount Whole{Share.BaseRate, Share.BaseCapacity, Share.Level};
  REQUIRE(lend(Share, Key, Whole, milliseconds(3'000), Then));
  REQUIRE(renewLent(Share, Key, Then));
  setBaseShare(Share, {Share.BaseRate.PerSecond / 2},
               {Share.BaseCapacity.Count / 2}, time_point::max(), Then);
  CHECK_FALSE(renewLent(Share, Key, Then));
  CHECK(rateOf(Share) == micro_rate{});
}
