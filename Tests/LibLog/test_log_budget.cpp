#include "LibLog/line_writer.h"
#include "LibLog/log_budget.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("an event has so many lines a second, and the rest is counted") {
  log_budget Budget;
  Budget.LinesPerSecond = 3;
  time_point Now{seconds(10)};
  int Written = 0;
  for (int Line = 0; Line < 8; ++Line)
    Written += spendLine(Budget, 2104, Now) ? 1 : 0;
  REQUIRE(Written == 3);
  REQUIRE(spendLine(Budget, 2101, Now));
  REQUIRE(takeLeftOut(Budget, Now).empty());

  Now += seconds(1);
  const std::vector<left_out_lines> LeftOut = takeLeftOut(Budget, Now);
  REQUIRE(LeftOut.size() == 1);
  REQUIRE(LeftOut.front().Event == 2104);
  REQUIRE(LeftOut.front().Count == 5);
  REQUIRE(spendLine(Budget, 2104, Now));
  REQUIRE(takeLeftOut(Budget, Now + seconds(1)).empty());
}

TEST_CASE("a reader that stops reading costs lines and blocks nobody") {
  int Pipe[2] = {-1, -1};
  REQUIRE(::pipe2(Pipe, O_CLOEXEC) == 0);
  const std::string Line(1'000, 'x');
  int Written = 0;
  // Far more than a pipe holds: a writer that waited would hang here.
  for (int Count = 0; Count < 1'000; ++Count)
    Written += writeLine(Pipe[1], Line) ? 1 : 0;
  REQUIRE(Written > 10);
  REQUIRE(Written < 1'000);

  std::string Read(2'000'000, '\0');
  const ssize_t Size = ::read(Pipe[0], Read.data(), Read.size());
  REQUIRE(Size == static_cast<ssize_t>((Line.size() + 1) * Written));
  REQUIRE(writeLine(Pipe[1], Line));
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}
