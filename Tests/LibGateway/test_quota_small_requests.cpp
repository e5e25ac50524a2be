// Guards against a customer above its rate whose small requests are refused as
// often as its large ones, though all of them together need a small part of the
// rate: orders were refused for what streams had used.
#include "LibGateway/usage_bucket.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr double Rate = 67'000;
constexpr double Burst = 240'000;
constexpr double SmallUnits = 200;
constexpr double LargeUnits = 9'000;

struct admission {
  time_point At;
  std::size_t Host = 0;
  double Units = 0;
};

struct mixed_result {
  /// The refused parts of the small and of the large requests.
  double SmallRefused = 0;
  double LargeRefused = 0;
  double MostIn8Seconds = 0;
};

double mostIn8Seconds(const std::vector<admission> &Admissions) {
  double Most = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (const admission &Last : Admissions) {
    Sum += Last.Units;
    for (; Admissions[First].At <= Last.At - seconds(8); ++First)
      Sum -= Admissions[First].Units;
    Most = std::max(Most, Sum);
  }
  return Most;
}

/// 63 hosts that learn after 600 ms of what others admitted.
struct mixed_fleet {
  std::vector<usage_bucket> Buckets = std::vector<usage_bucket>(63);
  std::vector<admission> Admissions;
  std::size_t Reported = 0;
  std::mt19937 Random{7};

  void report(time_point Now) {
    for (; Reported < Admissions.size() &&
           Admissions[Reported].At + milliseconds(600) <= Now;
         ++Reported)
      for (std::size_t Host = 0; Host < Buckets.size(); ++Host)
        if (Host != Admissions[Reported].Host)
          noteRemoteUsage(Buckets[Host], Admissions[Reported].Units, Now);
  }

  /// Offers requests at a multiple of the rate for 10 ms, and counts them.
  void offer(double Load, double Units, time_point Now, int &Offered,
             int &Refused) {
    std::poisson_distribution<int> Count(Load * Rate * 0.01 / Units);
    for (int Left = Count(Random); Left > 0; --Left) {
      const std::size_t Host = Random() % Buckets.size();
      const double Draw = static_cast<double>(Random() % 1'000) / 1'000;
      ++Offered;
      if (takeUnits(Buckets[Host], Units, Draw, Now))
        Admissions.push_back({Now, Host, Units});
      else
        ++Refused;
    }
  }
};

/// Offers small and large requests, in multiples of the rate, for 30 s.
mixed_result offer(double SmallLoad, double LargeLoad) {
  const time_point Start{seconds(100)};
  mixed_fleet Fleet;
  for (usage_bucket &Bucket : Fleet.Buckets)
    setLimits(Bucket, Rate, Burst, Start);
  int Small = 0;
  int SmallRefused = 0;
  int Large = 0;
  int LargeRefused = 0;
  for (milliseconds At{0}; At < seconds(30); At += milliseconds(10)) {
    Fleet.report(Start + At);
    Fleet.offer(SmallLoad, SmallUnits, Start + At, Small, SmallRefused);
    Fleet.offer(LargeLoad, LargeUnits, Start + At, Large, LargeRefused);
  }
  return {double(SmallRefused) / std::max(Small, 1),
          double(LargeRefused) / std::max(Large, 1),
          mostIn8Seconds(Fleet.Admissions)};
}

} // namespace

TEST_CASE("a customer above its rate has small requests refused less often") {
  // The small ones take a thirtieth of the rate.
  const mixed_result Result = offer(0.03, 2.5);
  CHECK(Result.SmallRefused <= Result.LargeRefused / 2);
}

TEST_CASE("a flood stays within the quota, whatever sizes it mixes") {
  constexpr double Allowed = (Rate * 8 + Burst) * 1.1 + 72'000;
  for (const double SmallPart : {0.05, 0.3, 0.5, 0.9, 1.0}) {
    INFO(SmallPart);
    const mixed_result Result = offer(7 * SmallPart, 7 * (1 - SmallPart));
    CHECK(Result.MostIn8Seconds <= Allowed);
  }
}
