#include "LibRouting/placed_work.h"

#include <algorithm>
#include <cmath>

namespace spindle {

// Over how long reading times count; demand shifts within some seconds.
static constexpr std::chrono::duration<double> ReadDecayTime{3.0};

static double toMilliseconds(nanoseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

static double decayedReads(const placed_work &Engine, time_point Now) {
  const std::chrono::duration<double> Elapsed =
      std::max(nanoseconds(0), nanoseconds(Now - Engine.DecayedAt));
  return Engine.SquaredReads * std::exp(-Elapsed / ReadDecayTime);
}

static void addSquaredRead(placed_work &Engine, double Change, time_point Now) {
  Engine.SquaredReads = std::max(0.0, decayedReads(Engine, Now) + Change);
  Engine.DecayedAt = std::max(Engine.DecayedAt, Now);
}

static double squaredRead(const request_work &Work) {
  const double Milliseconds = toMilliseconds(Work.Reading);
  return Milliseconds * Milliseconds;
}

/// How long the engine still reads the request's prompt.
static nanoseconds unreadAt(const placed_request &Request, time_point Now) {
  return std::clamp<nanoseconds>(Request.ReadUntil - Now, nanoseconds(0),
                                 Request.Work.Reading);
}

std::uint64_t addWork(placed_work &Engine, const request_work &Work,
                      time_point Now, nanoseconds Delay) {
  const time_point Arrival = Now + Delay;
  const time_point ReadUntil =
      std::max(Now + readingBacklog(Engine, Now), Arrival) + Work.Reading;
  addSquaredRead(Engine, squaredRead(Work), Arrival);
  Engine.Requests.push_back(
      {++Engine.LastTicket, ReadUntil, ReadUntil + Work.Writing, Work});
  return Engine.LastTicket;
}

/// Moves the requests whose prompts follow a cancelled one ahead by \p Time.
static void advanceReading(placed_work &Engine, time_point ReadUntil,
                           nanoseconds Time) {
  for (placed_request &Request : Engine.Requests) {
    if (Request.ReadUntil <= ReadUntil)
      continue;
    Request.ReadUntil -= Time;
    Request.EndsAt -= Time;
  }
}

void cancelWork(placed_work &Engine, std::uint64_t Ticket, time_point Now) {
  const auto Found = std::find_if(
      Engine.Requests.begin(), Engine.Requests.end(),
      [Ticket](const placed_request &Each) { return Each.Ticket == Ticket; });
  if (Found == Engine.Requests.end())
    return;
  const placed_request Cancelled = *Found;
  Engine.Requests.erase(Found);
  addSquaredRead(Engine, -squaredRead(Cancelled.Work), Now);
  const nanoseconds Unread = unreadAt(Cancelled, Now);
  advanceReading(Engine, Cancelled.ReadUntil, Unread);
}

void dropEnded(placed_work &Engine, time_point Now) {
  std::erase_if(Engine.Requests, [Now](const placed_request &Request) {
    return Request.EndsAt <= Now;
  });
}

nanoseconds readingBacklog(const placed_work &Engine, time_point Now) {
  nanoseconds Backlog{0};
  for (const placed_request &Request : Engine.Requests)
    Backlog += unreadAt(Request, Now);
  return Backlog;
}

std::int64_t memoryInUse(const placed_work &Engine) {
  std::int64_t Tokens = 0;
  for (const placed_request &Request : Engine.Requests)
    Tokens += Request.Work.MemoryTokens;
  return Tokens;
}

double squaredReadingRate(const placed_work &Engine, time_point Now) {
  return decayedReads(Engine, Now) / ReadDecayTime.count();
}

double pauseRisk(nanoseconds Reading, nanoseconds GapObjective) {
  if (GapObjective <= nanoseconds(0))
    return 0;
  const double Ratio = toMilliseconds(Reading) / toMilliseconds(GapObjective);
  return std::min(1.0, Ratio * Ratio);
}

} // namespace spindle
