#include "LibResilience/part_suspects.h"

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

const part_id Common = makePartId("models", 1);
const part_id Deadly = makePartId("models", 2);
const part_id Other = makePartId("models", 3);
const std::vector<part_id> DeadlyPrompt = {Common, Deadly};
const std::vector<part_id> SoundPrompt = {Common, Other};

time_point at(int Milliseconds) {
  return time_point(seconds(1'000)) + milliseconds(Milliseconds);
}

upstream_start_id upstream(int Number) {
  return upstream_start_id::ofName("u" + std::to_string(Number));
}

/// Upstreams crash on the deadly prompt, one a second.
void crash(part_suspects &Suspects, int Count) {
  for (int Number = 0; Number < Count; ++Number)
    noteCrash(Suspects, DeadlyPrompt, upstream(Number), at(Number * 1'000));
}

bool isHeldBack(const part_suspects &Suspects, std::span<const part_id> Parts,
                time_point Now) {
  return heldBackUntil(Suspects, Parts, Now).has_value();
}

void send(const part_suspects &From, part_suspects &To, time_point Now) {
  mergePartSuspects(To, writePartSuspects(From, Now), Now);
}

} // namespace

TEST_CASE("requests that share a part crash one upstream after the other") {
  part_suspects Suspects;
  for (int Number = 0; Number < 3; ++Number) {
    REQUIRE_FALSE(isHeldBack(Suspects, DeadlyPrompt, at(Number * 1'000)));
    noteCrash(Suspects, DeadlyPrompt, upstream(Number), at(Number * 1'000));
    noteCompleted(Suspects, SoundPrompt, at(Number * 1'000 + 500));
  }
  REQUIRE(isHeldBack(Suspects, DeadlyPrompt, at(2'500)));
  REQUIRE_FALSE(isHeldBack(Suspects, SoundPrompt, at(2'500)));
}

TEST_CASE("sound requests are held back for a part before the deadly one") {
  part_suspects Suspects;
  crash(Suspects, 3);
  REQUIRE(isHeldBack(Suspects, DeadlyPrompt, at(2'500)));
  REQUIRE_FALSE(isHeldBack(Suspects, SoundPrompt, at(2'500)));
  noteCrash(Suspects, SoundPrompt, upstream(9), at(2'600));
  REQUIRE_FALSE(isHeldBack(Suspects, SoundPrompt, at(2'700)));
}

TEST_CASE("a deadly first part is taken for the parts behind it") {
  part_suspects Suspects;
  for (int Number = 0; Number < 3; ++Number) {
    const part_id Behind = makePartId("models", 10 + Number % 2);
    noteCrash(Suspects, std::vector{Deadly, Behind}, upstream(Number),
              at(Number * 1'000));
  }
  REQUIRE(isHeldBack(Suspects, std::vector{Deadly, Other}, at(2'500)));
  REQUIRE_FALSE(
      isHeldBack(Suspects, std::vector{makePartId("models", 10)}, at(2'500)));
}

TEST_CASE("a deadly first part is sent on with further parts behind it") {
  part_suspects Suspects;
  crash(Suspects, 3);
  for (int Number = 3; Number < 6; ++Number)
    noteCrash(Suspects, SoundPrompt, upstream(Number), at(Number * 1'000));
  REQUIRE(isHeldBack(Suspects, std::vector{Common}, at(5'500)));
  REQUIRE_FALSE(isHeldBack(Suspects, std::vector{Deadly}, at(5'500)));
  REQUIRE_FALSE(isHeldBack(Suspects, std::vector{Other}, at(5'500)));
}

TEST_CASE("a zone that loses power puts the parts in use into quarantine") {
  part_suspects Suspects;
  for (int Number = 0; Number < 6; ++Number)
    noteCrash(Suspects, DeadlyPrompt, upstream(Number), at(Number * 40));
  REQUIRE_FALSE(isHeldBack(Suspects, DeadlyPrompt, at(1'000)));
}

TEST_CASE("a part is held back for a crash that several requests report") {
  part_suspects Suspects;
  for (int Report = 0; Report < 5; ++Report)
    noteCrash(Suspects, DeadlyPrompt, upstream(0), at(Report * 1'000));
  REQUIRE_FALSE(isHeldBack(Suspects, DeadlyPrompt, at(5'000)));
}

TEST_CASE("a sound part on the engines of the deadly one is held back") {
  part_suspects Suspects;
  for (int Number = 0; Number < 4; ++Number) {
    noteCrash(Suspects, DeadlyPrompt, upstream(Number), at(Number * 1'000));
    noteCrash(Suspects, SoundPrompt, upstream(Number), at(Number * 1'000));
    noteCompleted(Suspects, SoundPrompt, at(Number * 1'000 + 700));
  }
  REQUIRE(isHeldBack(Suspects, DeadlyPrompt, at(4'000)));
  REQUIRE_FALSE(isHeldBack(Suspects, SoundPrompt, at(4'000)));
}

TEST_CASE("a part that is sound again is held back for good") {
  part_suspects Suspects;
  crash(Suspects, 3);
  const std::optional<time_point> Until =
      heldBackUntil(Suspects, DeadlyPrompt, at(2'500));
  REQUIRE(Until.has_value());
  expirePartSuspects(Suspects, *Until - milliseconds(1));
  REQUIRE(isHeldBack(Suspects, DeadlyPrompt, *Until - milliseconds(1)));
  expirePartSuspects(Suspects, *Until);
  REQUIRE_FALSE(isHeldBack(Suspects, DeadlyPrompt, *Until));
  REQUIRE(Suspects.HeldBack.empty());
}

TEST_CASE("rare crashes over a long time put a part into quarantine") {
  part_suspects Suspects;
  for (int Number = 0; Number < 5; ++Number) {
    const time_point Now = at(Number * 40'000);
    expirePartSuspects(Suspects, Now);
    noteCrash(Suspects, DeadlyPrompt, upstream(Number), Now);
    REQUIRE_FALSE(isHeldBack(Suspects, DeadlyPrompt, Now));
  }
}

TEST_CASE("a caller fills the table with parts of its own making") {
  part_suspects Suspects;
  crash(Suspects, 3);
  for (std::uint64_t Part = 100; Part < 5'000; ++Part) {
    const std::vector<part_id> Parts = {makePartId("models", Part)};
    noteCrash(Suspects, Parts, upstream(static_cast<int>(Part)), at(3'000));
    noteCompleted(Suspects, std::vector{makePartId("models", Part + 10'000)},
                  at(3'000));
  }
  REQUIRE(Suspects.Suspects.size() <= Suspects.Settings.MaxSuspects);
  REQUIRE(Suspects.Sound.Recent.size() + Suspects.Sound.Older.size() <=
          Suspects.Settings.MaxSoundParts);
  REQUIRE(isHeldBack(Suspects, DeadlyPrompt, at(3'500)));
}

TEST_CASE("a full table of suspects outgrows the exchange between hosts") {
  part_suspects Suspects;
  crash(Suspects, 3);
  for (std::uint64_t Part = 100; Part < 1'100; ++Part)
    noteCrash(Suspects, std::vector{makePartId("models", Part)}, upstream(9),
              at(2'100));
  REQUIRE(writePartSuspects(Suspects, at(2'200)).size() <= 64);
  part_suspects Peer;
  send(Suspects, Peer, at(2'200));
  REQUIRE(isHeldBack(Peer, DeadlyPrompt, at(2'300)));
}

TEST_CASE("hosts that see one crash each send the deadly requests on") {
  std::vector<part_suspects> Hosts(3);
  for (int Number = 0; Number < 3; ++Number)
    noteCrash(Hosts[static_cast<std::size_t>(Number)], DeadlyPrompt,
              upstream(Number), at(Number * 1'000));
  for (const part_suspects &From : Hosts)
    for (part_suspects &To : Hosts)
      if (&From != &To)
        send(From, To, at(2'200));
  for (const part_suspects &Host : Hosts) {
    REQUIRE(isHeldBack(Host, DeadlyPrompt, at(2'300)));
    REQUIRE_FALSE(isHeldBack(Host, SoundPrompt, at(2'300)));
  }
}

TEST_CASE("a completion at one host leaves a part held back at another") {
  part_suspects Sound;
  part_suspects Host;
  crash(Host, 3);
  noteCompleted(Sound, DeadlyPrompt, at(2'100));
  send(Host, Sound, at(2'200));
  REQUIRE_FALSE(isHeldBack(Sound, DeadlyPrompt, at(2'300)));
  send(Sound, Host, at(2'300));
  REQUIRE_FALSE(isHeldBack(Host, DeadlyPrompt, at(2'400)));
}

TEST_CASE("hosts differ in what they hold back once all reports are merged") {
  rc::prop("the order and number of merges do not matter", [] {
    std::vector<part_suspects> Hosts(3);
    const int Steps = *rc::gen::inRange(1, 12);
    for (int Step = 0; Step < Steps; ++Step) {
      part_suspects &Host = Hosts[*rc::gen::inRange<std::size_t>(0, 3)];
      const part_id Second = makePartId("models", *rc::gen::inRange(2, 4));
      const std::vector<part_id> Parts = {Common, Second};
      if (*rc::gen::inRange(0, 4) == 0)
        noteCompleted(Host, Parts, at(Step * 400));
      else
        noteCrash(Host, Parts, upstream(Step), at(Step * 400));
    }
    const time_point Now = at(Steps * 400);
    for (int Round = 0; Round < 30; ++Round)
      send(Hosts[*rc::gen::inRange<std::size_t>(0, 3)],
           Hosts[*rc::gen::inRange<std::size_t>(0, 3)], Now);
    for (int Round = 0; Round < 2; ++Round)
      for (const part_suspects &From : std::vector(Hosts))
        for (part_suspects &To : Hosts)
          send(From, To, Now);
    for (const std::vector<part_id> &Parts : {DeadlyPrompt, SoundPrompt})
      for (const part_suspects &Host : Hosts)
        RC_ASSERT(isHeldBack(Host, Parts, Now) ==
                  isHeldBack(Hosts.front(), Parts, Now));
  });
}
