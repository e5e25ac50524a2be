// Guards against refused callers that return together and are refused again,
// and against callers with little time left that are told to stay away although
// there will be room.
#include "LibScheduling/retry_time.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

struct crowd_result {
  int PeakPerTenth = 0;
  int Served = 0;
};

/// Callers that were refused at the same moment return once, when they were
/// told, unless that is later than they wait for. Each tenth of a second has
/// room for a part of \p RoomPerSecond.
template <typename wait>
crowd_result returnCrowd(int Callers, int RoomPerSecond, milliseconds TimeLeft,
                         wait Wait) {
  std::vector<int> Tenths(600);
  for (int Caller = 0; Caller < Callers; ++Caller) {
    const milliseconds Told = Wait(Caller);
    if (Told <= TimeLeft / AcceptedWaitDivisor)
      ++Tenths[static_cast<std::size_t>(Told.count() / 100)];
  }
  crowd_result Result;
  for (const int Count : Tenths) {
    Result.PeakPerTenth = std::max(Result.PeakPerTenth, Count);
    Result.Served += std::min(Count, RoomPerSecond / 10);
  }
  return Result;
}

struct crowd_figures {
  crowd_result Fixed;
  crowd_result Spread;
};

crowd_figures crowd(int Callers, int RoomPerSecond, milliseconds TimeLeft) {
  std::mt19937_64 Random(20261204);
  const auto Draw = [&Random] {
    return static_cast<double>(Random() % 1'000) / 1'000;
  };
  const auto Fixed = [&](int) {
    return milliseconds(300 + static_cast<std::int64_t>(200 * Draw()));
  };
  const auto Spread = [&](int Caller) {
    const double Returning = Caller + 1;
    const double Served = RoomPerSecond;
    return retryAfter({milliseconds(400), Returning, Served, TimeLeft}, Draw());
  };
  return {returnCrowd(Callers, RoomPerSecond, TimeLeft, Fixed),
          returnCrowd(Callers, RoomPerSecond, TimeLeft, Spread)};
}

} // namespace

TEST_CASE("a crowd of refused callers returns as there is room for it") {
  for (const milliseconds TimeLeft : {seconds(5), seconds(15)}) {
    const crowd_figures Result = crowd(400, 100, TimeLeft);
    CHECK(Result.Spread.PeakPerTenth < Result.Fixed.PeakPerTenth / 2);
    CHECK(Result.Spread.Served > 2 * Result.Fixed.Served);
  }
}

TEST_CASE("figures of a crowd of refused callers", "[.figures]") {
  std::cout << "left ms | fixed: peak, served | spread: peak, served\n";
  for (const int TimeLeft : {1'500, 5'000, 15'000}) {
    const crowd_figures Result = crowd(400, 100, milliseconds(TimeLeft));
    std::cout << TimeLeft << " | " << Result.Fixed.PeakPerTenth << ", "
              << Result.Fixed.Served << " | " << Result.Spread.PeakPerTenth
              << ", " << Result.Spread.Served << '\n';
  }
}

TEST_CASE("a caller that can be served in time is never told to stay away") {
  rc::prop("the time is within the caller's own, or truly too late", [] {
    const milliseconds UntilRoom{*rc::gen::inRange(0, 20'000)};
    const milliseconds TimeLeft{*rc::gen::inRange(0, 20'000)};
    const double Served = *rc::gen::inRange(0, 100);
    const double Returning = *rc::gen::inRange(1, 10'000);
    const double Draw = *rc::gen::inRange(0, 1'000) / 1'000.0;
    const milliseconds Told =
        retryAfter({UntilRoom, Returning, Served, TimeLeft}, Draw);
    RC_ASSERT(Told >= milliseconds(0));
    if (UntilRoom >= TimeLeft)
      RC_ASSERT(Told >= UntilRoom);
    else
      RC_ASSERT(Told <=
                std::max(TimeLeft / AcceptedWaitDivisor, milliseconds(1)));
  });
}

TEST_CASE("the pace of what is served and refused decays") {
  const time_point Start{seconds(100)};
  retry_pace Pace;
  noteServed(Pace, Start);
  REQUIRE(servedPerSecond(Pace, Start) == 0);
  for (int Count = 0; Count < 300; ++Count) {
    noteServed(Pace, Start + milliseconds(10) * Count);
    noteRefused(Pace, Start + milliseconds(10) * Count);
  }
  const time_point End = Start + seconds(3);
  REQUIRE(servedPerSecond(Pace, End) == Approx(100).epsilon(0.1));
  REQUIRE(returningCount(Pace, End + seconds(10)) < 0.01);
}
