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
  const auto See = [&Observer](std::uint64_t Renewals, seconds At) {
    Observer.observe("a", recordOf(Renewals), Start + At,
                     Start + At + milliseconds(100));
  };
  const auto Lost = [&Observer] {
    return Observer.judge("a", 7, 1, 1, Start).LeaseLost;
  };
  See(1, seconds(0));
  See(1, seconds(12));
  CHECK_FALSE(Lost()); // the first response came 0.1 s after its read was sent
  See(1, seconds(13));
  CHECK(Lost());
  // A claim under a later term proves a later renewal.
  CHECK_FALSE(Observer.judge("a", 7, 2, 1, Start).LeaseLost);
  See(1, seconds(8'000));
  CHECK(Observer.judge("a", 7, 1, 1, Start).ShareLost);
  CHECK_FALSE(Observer.judge("a", 7, 1, 2, Start).ShareLost);
  See(2, seconds(8'001));
  CHECK_FALSE(Lost());
}

TEST_CASE("a lease that was confirmed too late must be renewed under a new "
          "term") {
  lease_term Term(seconds(10));
  const std::uint64_t First = Term.numberFor(Start);
  Term.noteSent(Start);
  Term.confirm(First, Start, Start + seconds(10));
  CHECK_FALSE(Term.holds(Start + seconds(10)));
  const std::uint64_t Second = Term.numberFor(Start + seconds(10));
  CHECK(Second > First);
  Term.noteSent(Start + seconds(10));
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
  const auto See = [&Observer](seconds At) {
    Observer.observe("a", recordOf(1), Start + At,
                     Start + At + milliseconds(100));
  };
  const std::vector<std::string> OnlyA{"a"};
  See(seconds(0));
  Observer.observeMachines({"a"});
  CHECK(Observer.lapsedHosts().empty());
  See(seconds(13));
  CHECK(Observer.lapsedHosts() == OnlyA);
  Observer.observeMachines({});
  CHECK(Observer.lapsedHosts().empty());
}
