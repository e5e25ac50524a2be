#include "LibFleetModel/engine_model.h"

#include <algorithm>
#include <numeric>

namespace spindle {

static std::int64_t tokensOf(const engine_run &Run) {
  return Run.Request->PromptTokens + Run.Generated;
}

void engine_model::add(const engine_run &Run) {
  const auto Behind = std::find_if(
      Waiting.begin(), Waiting.end(),
      [&Run](const engine_run &Other) { return Other.Urgency > Run.Urgency; });
  Waiting.insert(Behind, Run);
}

void engine_model::cancel(std::uint64_t Id) {
  const auto HasId = [Id](const engine_run &Run) { return Run.Id == Id; };
  Waiting.remove_if(HasId);
  Running.remove_if(HasId);
}

std::vector<std::uint64_t> engine_model::clear() {
  std::vector<std::uint64_t> Lost;
  for (const engine_run &Run : Running)
    Lost.push_back(Run.Id);
  for (const engine_run &Run : Waiting)
    Lost.push_back(Run.Id);
  Running.clear();
  Waiting.clear();
  Cache.clear();
  return Lost;
}

std::int64_t engine_model::usedTokens() const {
  return std::accumulate(Running.begin(), Running.end(), std::int64_t{0},
                         [](std::int64_t Sum, const engine_run &Run) {
                           return Sum + tokensOf(Run);
                         });
}

/// Starts waiting requests while there is a slot and memory.
void engine_model::admit() {
  std::int64_t Used = usedTokens();
  while (!Waiting.empty() && Running.size() < Fleet.BatchSlots) {
    engine_run &Next = Waiting.front();
    Used += tokensOf(Next);
    if (Used > Fleet.MemoryTokens && !Running.empty())
      return;
    Next.Unread = tokensOf(Next) - Cache.cachedTokens(*Next.Request);
    Running.splice(Running.end(), Waiting, Waiting.begin());
  }
}

/// Puts the newest of the least urgent requests back while memory is short.
/// Cached prompts are evicted first.
void engine_model::makeRoom() {
  while (usedTokens() > Fleet.MemoryTokens && Running.size() > 1) {
    auto Victim = Running.begin();
    for (auto Run = Running.begin(); Run != Running.end(); ++Run)
      if (Run->Urgency >= Victim->Urgency)
        Victim = Run;
    engine_run PutBack = *Victim;
    Running.erase(Victim);
    ++PutBack.Preempted;
    ++Preemptions;
    Waiting.push_front(PutBack);
  }
  Cache.setCapacity(
      std::max<std::int64_t>(0, Fleet.MemoryTokens - usedTokens()));
}

/// Prefills a piece of the prompts, the urgent first, and returns its size.
std::int64_t engine_model::prefillPieces() {
  std::vector<engine_run *> Unread;
  for (engine_run &Run : Running)
    if (Run.Unread > 0)
      Unread.push_back(&Run);
  std::stable_sort(Unread.begin(), Unread.end(),
                   [](const engine_run *Left, const engine_run *Right) {
                     return Left->Urgency < Right->Urgency;
                   });
  std::int64_t Left = Fleet.PieceTokens;
  for (engine_run *const Run : Unread) {
    const std::int64_t Piece = std::min(Left, Run->Unread);
    Run->Unread -= Piece;
    Left -= Piece;
    if (Run->Unread == 0)
      Cache.note(*Run->Request);
  }
  TokensPrefilled += Fleet.PieceTokens - Left;
  return Fleet.PieceTokens - Left;
}

/// Generates the next token of each request whose prompt is prefilled.
void engine_model::generate(engine_events &Events) {
  for (auto Run = Running.begin(); Run != Running.end();) {
    if (Run->Unread > 0) {
      ++Run;
      continue;
    }
    ++Run->Generated;
    const bool Ended = Run->Generated >= Run->OutputTokens;
    // The first token is the first event.
    if (!Run->WasPrefilled || Ended ||
        Run->Generated % Run->TokensPerEvent == 0)
      Events.Events.push_back(Run->Id);
    Run->WasPrefilled = true;
    if (!Ended) {
      ++Run;
      continue;
    }
    Events.Ended.push_back(Run->Id);
    Run = Running.erase(Run);
  }
}

nanoseconds engine_model::step(engine_events &Events) {
  admit();
  makeRoom();
  const std::int64_t Read = prefillPieces();
  const double Milliseconds =
      Fleet.StepMilliseconds +
      Fleet.PerRequestMilliseconds * static_cast<double>(Running.size()) +
      static_cast<double>(Read) / Fleet.ReadTokensPerMillisecond;
  generate(Events);
  return fromMilliseconds(Milliseconds);
}

} // namespace spindle
