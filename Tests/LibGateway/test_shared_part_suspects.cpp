#include "LibGateway/shared_part_suspects.h"

#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

const std::vector<part_id> Parts = {makePartId("models", 1)};

upstream_entry upstream(int Number) {
  upstream_entry Entry;
  Entry.Name = "u" + std::to_string(Number);
  return Entry;
}

} // namespace

TEST_CASE("a host without peers holds a part back for rare crashes") {
  runtime_clock Clock;
  Clock.pause();
  shared_part_suspects Suspects(Clock);
  for (int Number = 0; Number < 5; ++Number) {
    Suspects.noteLost(upstream(Number), Parts);
    REQUIRE(Suspects.heldBackFor(Parts) == milliseconds(0));
    Clock.advance(seconds(70));
  }
}
