#include "platform_stand_in/object_store.h"
#include "platform_stand_in/platform_faults.h"
#include "platform_stand_in/rate_meter.h"
#include "platform_stand_in/weight_store.h"
#include "service_stand_in/call_record.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

TEST_CASE("the weight store starts two loads a second after its burst") {
  weight_store Store({});
  const time_point Start = time_point{} + seconds(100);
  CHECK(Store.startLoad(Start) == milliseconds(250));
  CHECK(Store.startLoad(Start) == milliseconds(250));
  CHECK(Store.startLoad(Start) == milliseconds(750));
  CHECK(Store.startLoad(Start) == milliseconds(1'250));
  CHECK(Store.counts().Delayed == 2);
  CHECK(Store.startLoad(Start + seconds(10)) == milliseconds(250));
}

TEST_CASE("beyond eight loads in flight each takes proportionally longer") {
  weight_store_settings Settings;
  Settings.Burst = 100;
  weight_store Store(Settings);
  const time_point Start = time_point{} + seconds(100);
  for (int Load = 1; Load <= 8; ++Load)
    CHECK(Store.startLoad(Start) == milliseconds(250));
  for (int Load = 9; Load <= 16; ++Load)
    CHECK(Store.startLoad(Start) == nanoseconds(milliseconds(250)) * Load / 8);
  CHECK(Store.counts().PeakInFlight == 16);
  CHECK(Store.startLoad(Start + seconds(1)) == milliseconds(250));
}

TEST_CASE("a waiting watch counts as one read a second") {
  rate_meter Meter;
  const call_rates Rates{3, 1};
  const time_point Start = time_point{} + seconds(100);
  CHECK(Meter.admit(Start, store_call::Read, "a", Rates));
  Meter.watchStarted();
  CHECK(Meter.admit(Start, store_call::Write, "a", Rates));
  CHECK_FALSE(Meter.admit(Start, store_call::Write, "a", Rates));
  const time_point Next = Start + seconds(1);
  CHECK(Meter.admit(Next, store_call::Read, "b", Rates));
  CHECK(Meter.admit(Next, store_call::Read, "b", Rates));
  CHECK_FALSE(Meter.admit(Next, store_call::Read, "b", Rates));
  CHECK(Meter.counts().PeakReads == 4);
  CHECK(Meter.counts().Refused == 2);
  CHECK(Meter.counts().ByKind.find("a")->second == 3);
}

TEST_CASE("a client is cut off by its zone or host") {
  platform_faults Faults;
  Faults.CutZones = {"z1"};
  Faults.CutHosts = {"h2"};
  CHECK(isCut(Faults, "spindle/z1/h1"));
  CHECK(isCut(Faults, "spindle/z2/h2"));
  CHECK_FALSE(isCut(Faults, "spindle/z2/h1"));
  CHECK_FALSE(isCut(Faults, "curl/7"));
}

TEST_CASE("an order key's effects are counted, and run once where told") {
  call_record Record;
  CHECK(Record.takeEffect("POST", "/orders", "k", false) == 1);
  CHECK(Record.takeEffect("POST", "/orders", "k", true) == 1);
  CHECK(Record.summary().Repeated.empty());
  CHECK(Record.takeEffect("POST", "/orders", "k", false) == 2);
  CHECK(Record.summary().Repeated.at("k") == 2);
  CHECK(Record.summary().Effects == 2);
}

using object_bodies = std::map<std::string, std::string>;

static object_bodies bodiesOf(const platform_list &List) {
  object_bodies Bodies;
  for (const platform_object &Object : List.Objects)
    Bodies[Object.Name] = Object.Body;
  return Bodies;
}

/// Writes to a random object, at times against an outdated version.
static void writeSomething(object_store &Store, const std::string &Body) {
  const std::string Name = *rc::gen::element<std::string>("a", "b", "c");
  const std::optional<platform_object> Old = Store.get("k", Name);
  if (!Old) {
    RC_ASSERT(Store.update("k", Name, 1, Body).Status == store_status::Missing);
    RC_ASSERT(Store.create("k", Name, Body).Status == store_status::Done);
    return;
  }
  RC_ASSERT(Store.create("k", Name, Body).Status == store_status::Exists);
  const bool Outdated = *rc::gen::inRange(0, 2) == 0;
  const std::uint64_t Version = Old->Version + (Outdated ? 1 : 0);
  const store_result Result = *rc::gen::inRange(0, 3) == 0
                                  ? Store.remove("k", Name, Version)
                                  : Store.update("k", Name, Version, Body);
  RC_ASSERT((Result.Status == store_status::Changed) == Outdated);
}

TEST_CASE("replaying a watch from any kept version gives the list") {
  rc::prop("any history of writes", [] {
    const auto Window = *rc::gen::inRange<std::size_t>(1, 40);
    object_store Store(Window);
    std::vector<platform_list> Lists{Store.list("k")};
    const int Writes = *rc::gen::inRange(1, 40);
    for (int Write = 0; Write < Writes; ++Write) {
      const std::string Body = std::to_string(Write);
      writeSomething(Store, Body);
      if (*rc::gen::inRange(0, 4) == 0)
        Store.create("other", Body, Body);
      Lists.push_back(Store.list("k"));
    }
    for (const platform_list &List : Lists) {
      object_bodies Bodies = bodiesOf(List);
      std::vector<platform_event> Events;
      const bool Kept =
          Store.changesSince("k", List.Version, Events) == store_status::Done;
      RC_ASSERT(Kept == (List.Version + Window >= Store.version()));
      for (const platform_event &Event : Events) {
        if (Event.Change == platform_change::Deleted)
          Bodies.erase(Event.Object.Name);
        else
          Bodies[Event.Object.Name] = Event.Object.Body;
      }
      RC_ASSERT(!Kept || Bodies == bodiesOf(Lists.back()));
    }
  });
}
