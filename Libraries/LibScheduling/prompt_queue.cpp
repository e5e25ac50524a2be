#include "LibScheduling/prompt_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace spindle {

bool isLate(const waiting_prompt &Prompt, time_point Now) {
  return Now + Prompt.Reading > Prompt.OnTimeUntil;
}

std::uint64_t enterQueue(prompt_queue &Queue, const waiting_prompt &Prompt) {
  const std::uint64_t Ticket = ++Queue.LastTicket;
  Queue.Waiting.emplace(Ticket, Prompt);
  return Ticket;
}

void updatePrompt(prompt_queue &Queue, std::uint64_t Ticket,
                  const waiting_prompt &Prompt) {
  Queue.Waiting.at(Ticket) = Prompt;
}

void leaveQueue(prompt_queue &Queue, std::uint64_t Ticket) {
  Queue.Waiting.erase(Ticket);
}

void noteSent(prompt_queue &Queue, std::uint64_t Ticket) {
  const auto Found = Queue.Waiting.find(Ticket);
  if (Found == Queue.Waiting.end())
    return;
  std::set<share_claim> Claims;
  for (const auto &[Each, Prompt] : Queue.Waiting)
    if (Prompt.Engine == Found->second.Engine)
      Claims.insert(Prompt.Claim);
  noteGrant(Queue.Shares, {&Found->second.Claim, 1}, Claims, 1);
}

/// The order of waiting requests; the smallest goes first.
static auto orderOf(const prompt_queue &Queue, std::uint64_t Ticket,
                    const waiting_prompt &Prompt, time_point Now) {
  // A request that does not wait yet comes after all that do.
  const std::uint64_t Arrival = Ticket > 0 ? Ticket : Queue.LastTicket + 1;
  const share_rank Rank = rankOf(Queue.Shares, Prompt.Claim);
  return std::tuple(isLate(Prompt, Now), Rank.NotDue, Rank.Urgency,
                    Rank.Granted, Rank.LastGrant, Prompt.OnTimeUntil, Arrival);
}

bool hasPriority(const prompt_queue &Queue, std::uint64_t Ticket,
                 const waiting_prompt &Prompt, time_point Now) {
  const auto Own = orderOf(Queue, Ticket, Prompt, Now);
  return std::none_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Entry) {
        return Entry.first != Ticket && Entry.second.Engine == Prompt.Engine &&
               orderOf(Queue, Entry.first, Entry.second, Now) < Own;
      });
}

nanoseconds expectedWait(const prompt_queue &Queue, std::uint64_t Ticket,
                         const waiting_prompt &Prompt, std::size_t Engines,
                         time_point Now) {
  const auto Own = orderOf(Queue, Ticket, Prompt, Now);
  nanoseconds Total{0};
  for (const auto &[Each, Other] : Queue.Waiting)
    if (Each != Ticket && orderOf(Queue, Each, Other, Now) < Own)
      Total += Other.Reading;
  return Total / static_cast<std::int64_t>(Engines);
}

} // namespace spindle
