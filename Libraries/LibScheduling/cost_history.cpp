#include "LibScheduling/cost_history.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace spindle {

namespace {

using ticks = std::chrono::duration<std::uint32_t, std::centi>;

/// Values are stored in steps of a 512th of an octave, a factor of 1.0014.
constexpr double StepsPerOctave = 512;
/// The newest values count however old they are: a rare key keeps its history.
constexpr std::size_t AlwaysCounted = 8;
/// Older values count only for this long, so that a shift of demand is followed
/// within half of it.
constexpr ticks CountedFor{500};
/// A key without a request for this long loses its cell to any other.
constexpr ticks IdleAfter{3'000};
constexpr double HighQuantile = 0.9;
constexpr double LowQuantile = 0.1;
/// The distance between these quantiles of the standard normal distribution.
constexpr double NormalRange = 2.56;
/// The ratio of standard deviation to median deviation of a normal
/// distribution.
constexpr double DeviationScale = 1.4826;

std::uint32_t ticksOf(time_point Now) {
  const auto Count = std::chrono::duration_cast<
      std::chrono::duration<std::int64_t, std::centi>>(Now.time_since_epoch());
  return static_cast<std::uint32_t>(Count.count());
}

std::size_t newestIndex(const cost_history &History, std::size_t Age) {
  constexpr std::size_t Capacity = cost_history::Capacity;
  return (History.Next + 2 * Capacity - 1 - Age) % Capacity;
}

/// Time since the value that is \p Age values older than the newest. Ticks wrap
/// around, which their difference allows for.
ticks ageOf(const cost_history &History, std::size_t Age, time_point Now) {
  const std::uint32_t Passed =
      ticksOf(Now) - History.Ticks[newestIndex(History, Age)];
  // A reader's clock may be read before a writer's.
  if (Passed > std::numeric_limits<std::uint32_t>::max() / 2)
    return ticks(0);
  return ticks(Passed);
}

double quantile(std::span<double> Values, double Part) {
  const auto Index = static_cast<std::ptrdiff_t>(
      std::ceil(Part * static_cast<double>(Values.size())) - 1);
  const auto Found = Values.begin() + std::max<std::ptrdiff_t>(Index, 0);
  std::nth_element(Values.begin(), Found, Values.end());
  return *Found;
}

/// The two cells where a key may be.
struct cell_pair {
  std::size_t First = 0;
  std::size_t Second = 0;
};

cell_pair cellsOf(std::uint64_t Key, std::size_t Size) {
  constexpr unsigned HalfBits = 32;
  return {static_cast<std::size_t>(Key) % Size,
          static_cast<std::size_t>(Key >> HalfBits) % Size};
}

bool isFree(const cost_history &History, time_point Now) {
  return History.Count == 0 || ageOf(History, 0, Now) > IdleAfter;
}

} // namespace

void noteValue(cost_history &History, double Value, time_point Now) {
  using limits = std::numeric_limits<std::int16_t>;
  const double Steps = std::round(Value * StepsPerOctave);
  History.Values[History.Next] = static_cast<std::int16_t>(
      std::clamp<double>(Steps, limits::min(), limits::max()));
  History.Ticks[History.Next] = ticksOf(Now);
  History.Next =
      static_cast<std::uint8_t>((History.Next + 1) % cost_history::Capacity);
  if (History.Count < cost_history::Capacity)
    ++History.Count;
}

cost_summary summarize(const cost_history &History, time_point Now) {
  std::array<double, cost_history::Capacity> Buffer{};
  std::size_t Count = 0;
  while (Count < History.Count &&
         (Count < AlwaysCounted || ageOf(History, Count, Now) < CountedFor)) {
    const std::int16_t Steps = History.Values[newestIndex(History, Count)];
    Buffer[Count] = Steps / StepsPerOctave;
    ++Count;
  }
  if (Count == 0)
    return {};
  const std::span<double> Values(Buffer.data(), Count);
  cost_summary Summary;
  Summary.Count = Count;
  Summary.Median = quantile(Values, 0.5);
  Summary.High = quantile(Values, HighQuantile);
  const double Spread =
      (Summary.High - quantile(Values, LowQuantile)) / NormalRange;
  Summary.Variance = Spread * Spread;
  for (double &Value : Values)
    Value = std::abs(Value - Summary.Median);
  const double Core = DeviationScale * quantile(Values, 0.5);
  Summary.CoreVariance = Core * Core;
  return Summary;
}

const cost_history *findHistory(std::span<const cost_history> Cells,
                                std::uint64_t Key) {
  const cell_pair Pair = cellsOf(Key, Cells.size());
  if (Cells[Pair.First].Key == Key)
    return &Cells[Pair.First];
  return Cells[Pair.Second].Key == Key ? &Cells[Pair.Second] : nullptr;
}

cost_history *claimHistory(std::span<cost_history> Cells, std::uint64_t Key,
                           time_point Now) {
  const cell_pair Pair = cellsOf(Key, Cells.size());
  for (const std::size_t Index : {Pair.First, Pair.Second})
    if (Cells[Index].Key == Key)
      return &Cells[Index];
  for (const std::size_t Index : {Pair.First, Pair.Second}) {
    if (!isFree(Cells[Index], Now))
      continue;
    Cells[Index] = cost_history{};
    Cells[Index].Key = Key;
    return &Cells[Index];
  }
  cost_history &Weaker = Cells[Pair.Second].Count < Cells[Pair.First].Count
                             ? Cells[Pair.Second]
                             : Cells[Pair.First];
  --Weaker.Count;
  return nullptr;
}

} // namespace spindle
