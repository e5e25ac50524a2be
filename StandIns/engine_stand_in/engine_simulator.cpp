#include "engine_stand_in/engine_simulator.h"

#include <algorithm>
#include <cassert>

namespace spindle {

engine_simulator::engine_simulator(engine_simulator_settings Settings,
                                   std::uint64_t Incarnation)
    : Settings(std::move(Settings)), Incarnation(Incarnation),
      Cache(this->Settings.CacheEntries) {}

/// Records an order's fencing number; returns whether the order is refused.
bool engine_simulator::refuses(std::uint64_t Fence) {
  const bool Old = Fence < HighestFence;
  HighestFence = std::max(HighestFence, Fence);
  Record.OldFences += Old ? 1 : 0;
  return Old && Settings.HonoursFencing;
}

order_reply engine_simulator::beginLoad(std::string_view Adapter,
                                        std::uint64_t Fence) {
  if (refuses(Fence))
    return order_reply::OldFence;
  if (Adapters.contains(Adapter))
    return order_reply::AlreadyThere;
  if (Adapters.size() >= Settings.Slots)
    return order_reply::NoSlot;
  Adapters.emplace(Adapter, false);
  return order_reply::Done;
}

void engine_simulator::finishLoad(std::string_view Adapter,
                                  std::uint64_t LoadIncarnation, bool Loaded) {
  const auto Found = Adapters.find(Adapter);
  if (LoadIncarnation != Incarnation || Found == Adapters.end())
    return;
  ++(Loaded ? Record.Loads : Record.LoadsFailed);
  if (Loaded)
    Found->second = true;
  else
    Adapters.erase(Found);
}

order_reply engine_simulator::unload(std::string_view Adapter,
                                     std::uint64_t Fence,
                                     std::vector<std::uint64_t> &Cut) {
  if (refuses(Fence))
    return order_reply::OldFence;
  const auto Found = Adapters.find(Adapter);
  if (Found == Adapters.end())
    return order_reply::NotLoaded;
  const std::size_t CutBefore = Cut.size();
  for (const auto &[Id, Entry] : Active)
    if (Entry.Request.Adapter == Adapter)
      Cut.push_back(Id);
  if (Cut.size() > CutBefore)
    Record.EvictedInUse.emplace_back(Adapter);
  for (std::size_t Index = CutBefore; Index < Cut.size(); ++Index)
    cancel(Cut[Index]);
  Adapters.erase(Found);
  ++Record.Unloads;
  return order_reply::Done;
}

bool engine_simulator::serves(std::string_view Adapter) const {
  if (Adapter == Settings.BaseModel)
    return true;
  const auto Found = Adapters.find(Adapter);
  return Found != Adapters.end() && Found->second;
}

bool engine_simulator::loading(std::string_view Adapter) const {
  const auto Found = Adapters.find(Adapter);
  return Found != Adapters.end() && !Found->second;
}

void engine_simulator::submit(time_point Now, const engine_request &Request) {
  assert(serves(Request.Adapter) && "the adapter is not loaded");
  ++Record.RequestsByAdapter[Request.Adapter];
  Active.emplace(Request.Id, active_request{Request});
  Waiting.emplace(std::pair(Request.Priority, ++Arrivals), Request.Id);
  if (!StepEnd)
    startStep(Now);
}

void engine_simulator::beginUnbatched(const engine_request &Request) {
  assert(serves(Request.Adapter) && "the adapter is not loaded");
  ++Record.RequestsByAdapter[Request.Adapter];
  Active.emplace(Request.Id, active_request{Request, 0, true});
  Record.PeakRunning =
      std::max<std::uint64_t>(Record.PeakRunning, Active.size());
}

void engine_simulator::endUnbatched(std::uint64_t Request,
                                    std::uint64_t Tokens) {
  Active.erase(Request);
  Record.Tokens += Tokens;
}

void engine_simulator::cancel(std::uint64_t Request) {
  if (Active.erase(Request) == 0)
    return;
  std::erase(Running, Request);
  std::erase_if(Waiting, [Request](const auto &Entry) {
    return Entry.second == Request;
  });
}

/// Admits waiting requests to the batch; returns their prefill time.
nanoseconds engine_simulator::admit(time_point Now) {
  nanoseconds Prefill{0};
  while (Running.size() < Settings.BatchSize && !Waiting.empty()) {
    const std::uint64_t Id = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    const engine_request &Request = Active.at(Id).Request;
    const bool Hit = Cache.use(Now, Request.Adapter, Request.PrefixHash);
    ++(Hit ? Record.CacheHits : Record.CacheMisses);
    const nanoseconds Whole =
        Settings.PrefillTimePerToken * Request.PromptTokens;
    Prefill += Hit ? std::chrono::duration_cast<nanoseconds>(
                         Whole * Settings.CachedPrefillPart)
                   : Whole;
    Running.push_back(Id);
  }
  return Prefill;
}

void engine_simulator::startStep(time_point Now) {
  const nanoseconds Prefill = admit(Now);
  StepEnd.reset();
  if (Running.empty())
    return;
  Record.PeakRunning =
      std::max<std::uint64_t>(Record.PeakRunning, Running.size());
  StepEnd = Now + Settings.StepTime + Prefill +
            Settings.StepTimePerRequest * Running.size();
}

std::vector<generated_token> engine_simulator::step(time_point Now) {
  assert(StepEnd && *StepEnd <= Now && "no step has ended");
  std::vector<generated_token> Tokens;
  for (const std::uint64_t Id : Running) {
    active_request &Entry = Active.at(Id);
    ++Entry.Generated;
    Tokens.push_back({Id, Entry.Generated >= Entry.Request.AnswerTokens});
  }
  Record.Steps += Tokens.empty() ? 0 : 1;
  Record.Tokens += Tokens.size();
  for (const generated_token &Token : Tokens)
    if (Token.Last)
      cancel(Token.Request);
  startStep(Now);
  return Tokens;
}

std::vector<std::uint64_t> engine_simulator::restart() {
  std::vector<std::uint64_t> Cut;
  for (const auto &[Id, Entry] : Active)
    Cut.push_back(Id);
  Active.clear();
  Waiting.clear();
  Running.clear();
  Adapters.clear();
  StepEnd.reset();
  Cache.clear();
  HighestFence = 0;
  ++Incarnation;
  ++Record.Restarts;
  return Cut;
}

engine_report engine_simulator::report() const {
  engine_report Report;
  Report.Incarnation = Incarnation;
  for (const auto &[Adapter, Loaded] : Adapters)
    (Loaded ? Report.Loaded : Report.Loading).push_back(Adapter);
  Report.Slots = Settings.Slots;
  Report.BatchSize = Settings.BatchSize;
  for (const auto &[Id, Entry] : Active)
    Report.Running += Entry.Unbatched ? 1 : 0;
  Report.Running += static_cast<std::uint32_t>(Running.size());
  Report.Waiting = static_cast<std::uint32_t>(Waiting.size());
  Report.Fence = HighestFence;
  return Report;
}

} // namespace spindle
