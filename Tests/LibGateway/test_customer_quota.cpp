#include "LibCore/retry_after_error.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/usage_ledger.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

const time_point Start{seconds(100)};
const customer_id Customer = customer_id::ofName("aalst");

customer_usage uses(std::int64_t Units) { return {{Customer, Units}}; }

} // namespace

TEST_CASE("a bucket admits rate and burst, and tells when more is available") {
  usage_bucket Bucket;
  setLimits(Bucket, 100, 200, Start);
  REQUIRE(takeUnits(Bucket, 100, 0, Start));
  REQUIRE_FALSE(takeUnits(Bucket, 100, 0, Start));
  REQUIRE(timeUntil(Bucket, 50, Start) <= milliseconds(500));
  REQUIRE(takeUnits(Bucket, 50, 0, Start + milliseconds(500)));
}

TEST_CASE("the sides of a partitioned fleet stay within the rate together") {
  rc::prop("admitted <= rate * time + burst + report and detection delays", [] {
    // Hosts report their usage to each other every 250 ms. A partition is
    // detected after 1.2 s; from then on each side refills by its share.
    constexpr double Rate = 1'000;
    constexpr double Burst = 1'000;
    constexpr milliseconds Tick{50};
    constexpr milliseconds ReportInterval{250};
    constexpr milliseconds DetectionTime{1'200};
    constexpr milliseconds Duration{8'000};
    const int Hosts = *rc::gen::inRange(2, 8);
    const int SideSize = *rc::gen::inRange(1, Hosts);
    const int PartitionAt = *rc::gen::inRange(0, 8'000);
    std::vector<usage_bucket> Buckets(static_cast<std::size_t>(Hosts));
    std::vector<double> Unreported(Buckets.size(), 0);
    for (usage_bucket &Bucket : Buckets)
      setLimits(Bucket, Rate, Burst, Start);
    double Admitted = 0;
    const auto SameSide = [&](std::size_t One, std::size_t Other) {
      return (One < static_cast<std::size_t>(SideSize)) ==
             (Other < static_cast<std::size_t>(SideSize));
    };
    for (milliseconds At{0}; At < Duration; At += Tick) {
      const time_point Now = Start + At;
      const bool IsPartitioned = At.count() >= PartitionAt;
      for (std::size_t Host = 0; Host < Buckets.size(); ++Host) {
        const std::size_t Side =
            Host < static_cast<std::size_t>(SideSize)
                ? static_cast<std::size_t>(SideSize)
                : Buckets.size() - static_cast<std::size_t>(SideSize);
        if (At.count() >= PartitionAt + DetectionTime.count())
          setShare(Buckets[Host],
                   static_cast<double>(Side) / static_cast<double>(Hosts), Now);
        // Each host is offered ten times the rate of the fleet.
        for (int Request = 0; Request < 10; ++Request)
          if (takeUnits(Buckets[Host], Rate / 20, 0, Now)) {
            Admitted += Rate / 20;
            Unreported[Host] += Rate / 20;
          }
      }
      if (At.count() % ReportInterval.count() != 0)
        continue;
      for (std::size_t Host = 0; Host < Buckets.size(); ++Host) {
        for (std::size_t Other = 0; Other < Buckets.size(); ++Other)
          if (Other != Host && (!IsPartitioned || SameSide(Host, Other)))
            noteRemoteUsage(Buckets[Other], Unreported[Host], Now);
        Unreported[Host] = 0;
      }
    }
    const double Seconds = std::chrono::duration<double>(Duration).count();
    // Admitted by each host before it receives the others' reports, and by
    // both sides before they detect the partition.
    const double BeforeReport = Hosts * (InitialFill * Burst + Rate * 0.25);
    const double BeforeDetection = 2 * Rate * 1.45 + Burst;
    RC_ASSERT(Admitted <=
              Rate * Seconds + Burst + BeforeReport + BeforeDetection);
  });
}

namespace {

/// A fleet that serves one customer. Hosts learn after ReportDelay what the
/// others admitted.
struct quota_fleet {
  static constexpr double Rate = 400'000;
  static constexpr double Burst = 400'000;
  static constexpr milliseconds Tick{10};
  static constexpr milliseconds ReportDelay{600};

  explicit quota_fleet(std::size_t HostCount) : Buckets(HostCount) {
    for (usage_bucket &Bucket : Buckets)
      setLimits(Bucket, Rate, Burst, Start);
  }

  /// Offers \p Load times the rate for \p Time, in requests of \p Units, each
  /// to a random host. Returns the admitted fraction.
  double offer(double Load, milliseconds Time, double Units) {
    const std::size_t Before = Admissions.size();
    std::size_t Offered = 0;
    double Pending = 0;
    for (const time_point End = Now + Time; Now < End; Now += Tick) {
      report();
      Pending += Load * Rate * std::chrono::duration<double>(Tick).count();
      for (; Pending >= Units; Pending -= Units) {
        ++Offered;
        const std::size_t Host = Random() % Buckets.size();
        const double Draw = static_cast<double>(Random() % 1'000) / 1'000;
        if (takeUnits(Buckets[Host], Units, Draw, Now))
          Admissions.push_back({Now, Host, Units});
      }
    }
    return static_cast<double>(Admissions.size() - Before) /
           static_cast<double>(Offered);
  }

  /// The most units that were admitted within any \p Window.
  double mostWithin(seconds Window) const {
    double Most = 0;
    for (std::size_t First = 0; First < Admissions.size(); ++First) {
      double Sum = 0;
      for (std::size_t Next = First;
           Next < Admissions.size() &&
           Admissions[Next].At < Admissions[First].At + Window;
           ++Next)
        Sum += Admissions[Next].Units;
      Most = std::max(Most, Sum);
    }
    return Most;
  }

private:
  struct admission {
    time_point At;
    std::size_t Host;
    double Units;
  };

  void report() {
    for (; Reported < Admissions.size() &&
           Admissions[Reported].At + ReportDelay <= Now;
         ++Reported)
      for (std::size_t Host = 0; Host < Buckets.size(); ++Host)
        if (Host != Admissions[Reported].Host)
          noteRemoteUsage(Buckets[Host], Admissions[Reported].Units, Now);
  }

  std::vector<usage_bucket> Buckets;
  std::vector<admission> Admissions;
  std::size_t Reported = 0;
  time_point Now = Start;
  std::mt19937 Random{7};
};

} // namespace

TEST_CASE("a customer at seven times its rate stays within its quota over many "
          "hosts that learn late of each other's admissions") {
  constexpr double Tolerance = 0.1;
  constexpr double Slack = 110'000;
  constexpr seconds Window{8};
  for (const std::size_t HostCount : {7, 68, 195}) {
    INFO(HostCount);
    quota_fleet Fleet(HostCount);
    Fleet.offer(0.6, milliseconds(8'000), 3'000);
    Fleet.offer(7, milliseconds(16'000), 3'000);
    const double Allowed =
        (quota_fleet::Rate * 8 + quota_fleet::Burst) * (1 + Tolerance) + Slack;
    CHECK(Fleet.mostWithin(Window) <= Allowed);
    // The rate is used as well.
    CHECK(Fleet.mostWithin(Window) >= quota_fleet::Rate * 8 * 0.9);
  }
}

TEST_CASE("a customer within its rate is admitted over many hosts") {
  quota_fleet Fleet(68);
  Fleet.offer(0.5, milliseconds(3'000), 3'000);
  REQUIRE(Fleet.offer(0.9, milliseconds(10'000), 3'000) > 0.999);
}

TEST_CASE("a customer is admitted again soon after it exceeded its rate") {
  quota_fleet Fleet(68);
  Fleet.offer(7, milliseconds(5'000), 3'000);
  Fleet.offer(0, milliseconds(1'500), 3'000);
  REQUIRE(Fleet.offer(0.6, milliseconds(4'000), 3'000) > 0.98);
}

TEST_CASE("a customer that exceeds its rate is told when to retry") {
  runtime_clock Clock;
  Clock.pause();
  customer_quota Quota(Clock);
  gateway_configuration Configuration;
  gateway_customer Aalst;
  Aalst.Name = "aalst";
  Aalst.RatePerSecond = 1'000;
  Aalst.Burst = 1'000;
  Aalst.CountsTokens = true;
  Aalst.DefaultTokens = 100;
  Configuration.Customers = {Aalst};
  Quota.applyConfiguration(Configuration);
  Clock.advance(seconds(2));
  Quota.charge(Aalst, 1'000);
  try {
    Quota.charge(Aalst, 500);
    FAIL("a charge beyond rate and burst was admitted");
  } catch (const retry_after_error &Error) {
    REQUIRE(Error.code() == result_code::RateExceeded);
    REQUIRE(Error.retryAfter() <= milliseconds(500));
  }
  Quota.refund(Aalst, 500);
  Quota.charge(Aalst, 500);
  REQUIRE(Quota.localUsage().at(Customer) == 1'000);
}

TEST_CASE("a ledger counts usage once across restarts and leader changes") {
  usage_ledger Ledger;
  // Usage from before the peer's first report is not counted.
  REQUIRE(noteUsageReport(Ledger, "h", {1, uses(500), 1, false},
                          Start)[Customer] == 0);
  REQUIRE(noteUsageReport(Ledger, "h", {1, uses(800), 1, false},
                          Start)[Customer] == 300);
  // A restarted host reports the usage of its new process from zero.
  REQUIRE(noteUsageReport(Ledger, "h", {2, uses(50), 1, false},
                          Start)[Customer] == 50);
  REQUIRE(peerUsage(Ledger, "", false)[Customer] == 350);
  // A new leader's total includes what its predecessor reported.
  noteUsageReport(Ledger, "z", {1, uses(10), 3, true}, Start);
  REQUIRE(noteUsageReport(Ledger, "z", {1, uses(30), 3, true},
                          Start)[Customer] == 20);
  REQUIRE(noteUsageReport(Ledger, "z", {9, uses(900), 3, true},
                          Start)[Customer] == 0);
  REQUIRE(peerUsage(Ledger, "", false)[Customer] == 350);
  REQUIRE(peerUsage(Ledger, "h", true)[Customer] == 20);
  REQUIRE(reportingHosts(Ledger, true, Start) == 4);
  REQUIRE(reportingHosts(Ledger, true, Start + seconds(1)) == 0);
}
