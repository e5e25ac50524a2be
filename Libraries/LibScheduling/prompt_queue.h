#ifndef PARSLEYSPINDLE_LIBSCHEDULING_PROMPT_QUEUE_H
#define PARSLEYSPINDLE_LIBSCHEDULING_PROMPT_QUEUE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibScheduling/grant_shares.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace spindle {

/// A request that waits until an engine can read its prompt.
struct waiting_prompt {
  share_claim Claim;
  /// The engine that it would be sent to.
  upstream_id Engine;
  /// How long the engine will read the prompt.
  nanoseconds Reading{0};
  /// When the first event is due, and until when it is of use.
  time_point OnTimeUntil;
  time_point UsefulUntil;
};

/// The requests that wait at a zone's leader for its engines. Answers the
/// load pattern in which more prompts arrive than engines can read: sent at
/// once, they wait at the engines in the order of arrival, and all are late.
///
/// Those that can still be in time go first, by urgency and customers' shares
/// (grant_shares), then by when they are due. Requests that are late get what
/// those leave. Modify it only through the functions below, none of which is
/// thread-safe.
struct prompt_queue {
  std::map<std::uint64_t, waiting_prompt> Waiting;
  std::uint64_t LastTicket = 0;
  grant_shares Shares;
};

/// Whether the first event comes too late even if reading begins at once.
bool isLate(const waiting_prompt &Prompt, time_point Now);
/// Adds a request and returns its ticket.
std::uint64_t enterQueue(prompt_queue &Queue, const waiting_prompt &Prompt);
/// Replaces the entry of a request, as after a new choice of its engine.
/// Precondition: it waits.
void updatePrompt(prompt_queue &Queue, std::uint64_t Ticket,
                  const waiting_prompt &Prompt);
/// Removes a request that leaves or is sent. Does nothing if it does not wait.
void leaveQueue(prompt_queue &Queue, std::uint64_t Ticket);
/// Records that a request is sent; call it before leaveQueue().
void noteSent(prompt_queue &Queue, std::uint64_t Ticket);
/// Whether no other request that waits for the same engine goes before
/// \p Prompt. \p Ticket is its own, or 0 if it does not wait yet.
bool hasPriority(const prompt_queue &Queue, std::uint64_t Ticket,
                 const waiting_prompt &Prompt, time_point Now);
/// How long it takes until \p Engines engines have read the prompts that go
/// before \p Prompt. Precondition: \p Engines is not 0.
nanoseconds expectedWait(const prompt_queue &Queue, std::uint64_t Ticket,
                         const waiting_prompt &Prompt, std::size_t Engines,
                         time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_PROMPT_QUEUE_H
