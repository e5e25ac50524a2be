#include "LibOrders/order_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

using order_run = order_simulation::order_run;
using attempt = order_simulation::attempt;

static std::vector<std::uint32_t> arbitraryChoices() {
  constexpr std::size_t Length = 4'000;
  return *rc::gen::container<std::vector<std::uint32_t>>(
      Length, rc::gen::resize(rc::kNominalSize,
                              rc::gen::inRange<std::uint32_t>(0, 1U << 16U)));
}

TEST_CASE("Orders run at most once under any interleaving and faults") {
  rc::prop("each key runs once, and refusals and replays are correct", [] {
    order_simulation History(arbitraryChoices());
    History.runAllSteps();
    RC_TAG(History.Runs.size());
    // A key may be reused once its record has been deleted.
    const nanoseconds Reuse =
        History.Settings.Retention - History.Settings.DispatchWindow;
    for (std::size_t Later = 0; Later < History.Runs.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        const order_run &First = History.Runs[Earlier];
        const order_run &Second = History.Runs[Later];
        RC_ASSERT(First.Key != Second.Key || Second.At - First.At >= Reuse);
      }
    for (std::size_t Index = 0; Index < History.Attempts.size(); ++Index) {
      const attempt &Attempt = *History.Attempts[Index];
      const auto IsOwn = [&](const order_run &Run) {
        return Run.Attempt == Index;
      };
      const bool Ran =
          std::any_of(History.Runs.begin(), History.Runs.end(), IsOwn);
      if (Attempt.ReportedState == run_state::NotRun)
        RC_ASSERT(!Ran);
      if (!Attempt.Response)
        continue;
      const auto IsAnswer = [&](const order_run &Run) {
        return Run.Key == Attempt.Key && Run.Body == Attempt.Response->Body;
      };
      RC_ASSERT(
          std::any_of(History.Runs.begin(), History.Runs.end(), IsAnswer));
    }
    for (const std::unique_ptr<order_executor> &Executor : History.Executors)
      RC_ASSERT(Executor->unwrittenOutcomes() == 0U);
  });
}
