#include "LibMembership/lease_observer.h"
#include "LibMembership/lease_term.h"

#include <catch2/catch.hpp>

using namespace spindle;

static const time_point Start{seconds(1'000)};

static lease_record recordOf(std::uint64_t Renewals) {
  lease_record Record;
  Record.Incarnation = 7;
  Record.Renewals = Renewals;
  Record.LeaseTerm = 1;
  Record.ShareTerm = 1;
  return Record;
}

TEST_CASE("a lease has expired when two reads, far enough apart, show the "
          "same renewal") {
  lease_observer Observer({});
  const auto Observe = [&Observer](std::uint64_t Renewals, seconds At) {
    Observer.observe("a", recordOf(Renewals), Start + At,
                     Start + At + milliseconds(100));
  };
  const auto Expired = [&Observer] {
    return Observer.leaseStatus("a", 7, 1, 1, Start).LeaseExpired;
  };
  Observe(1, seconds(0));
  Observe(1, seconds(12));
  // The first response came 0.1 s after its read was sent.
  CHECK_FALSE(Expired());
  Observe(1, seconds(13));
  CHECK(Expired());
  // A claim under a later term proves a later renewal.
  CHECK_FALSE(Observer.leaseStatus("a", 7, 2, 1, Start).LeaseExpired);
  Observe(1, seconds(8'000));
  CHECK(Observer.leaseStatus("a", 7, 1, 1, Start).ShareExpired);
  CHECK_FALSE(Observer.leaseStatus("a", 7, 1, 2, Start).ShareExpired);
  Observe(2, seconds(8'001));
  CHECK_FALSE(Expired());
}

TEST_CASE("a lease that was confirmed too late must be renewed under a new "
          "term") {
  lease_term Term(seconds(10));
  const std::uint64_t First = Term.termAt(Start);
  Term.noteRenewalSent(Start);
  Term.confirm(First, Start, Start + seconds(10));
  CHECK_FALSE(Term.holds(Start + seconds(10)));
  const std::uint64_t Second = Term.termAt(Start + seconds(10));
  CHECK(Second > First);
  Term.noteRenewalSent(Start + seconds(10));
  Term.confirm(Second, Start + seconds(10), Start + seconds(11));
  CHECK(Term.holds(Start + seconds(19)));
  // Counted from when the renewal was sent, not from when it was confirmed.
  CHECK_FALSE(Term.holds(Start + seconds(20)));
  Term.confirm(Second, Start + seconds(18), Start + seconds(21));
  CHECK_FALSE(Term.holds(Start + seconds(22)));
}

TEST_CASE(
    "a host with an expired lease is lapsed until it is known to be gone") {
  lease_observer Observer({});
  const auto Observe = [&Observer](seconds At) {
    Observer.observe("a", recordOf(1), Start + At,
                     Start + At + milliseconds(100));
  };
  const std::vector<std::string> OnlyA{"a"};
  Observe(seconds(0));
  Observer.observeMachines({"a"});
  CHECK(Observer.lapsedHosts().empty());
  Observe(seconds(13));
  CHECK(Observer.lapsedHosts() == OnlyA);
  Observer.observeMachines({});
  CHECK(Observer.lapsedHosts().empty());
}
