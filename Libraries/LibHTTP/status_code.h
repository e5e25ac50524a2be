#ifndef PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H
#define PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H

namespace spindle {

// A status line may hold any three digits. A status that is neither interim nor
// final stands for no answer of HTTP to a request of ours.

/// Whether the final answer is still to follow: 100 to 199, but for 101, which
/// switches to a protocol that no request asks for. Thread-safe.
bool isInterimStatus(int Status);
/// Whether it is the status of a final answer: 200 to 599. Thread-safe.
bool isFinalStatus(int Status);
/// Whether an answer with that status is its head alone, whatever the request
/// was: interim ones, 101, 204 and 304. Thread-safe.
bool isStatusWithoutBody(int Status);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H
