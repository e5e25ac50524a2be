#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H

#include "LibHost/model_run.h"
#include "LibHost/upstream_attempt.h"

namespace spindle {

/// The functions below forward an engine's response to the caller and block the
/// calling fiber. They throw spindle_error. If the response has begun by then,
/// the connection to the caller must be closed.

/// Forwards an engine's error response that concerns the request itself.
void forwardErrorResponse(request_context &Context, http_call &Call);
/// Forwards a response that is not streamed, after verifying it. Returns the
/// tokens used.
tokens forwardResponse(request_context &Context, const model_run &Run,
                       http_call &Call);
/// Forwards the verified events of a stream, with those of one read in one
/// write. Returns the tokens used.
tokens forwardEvents(request_context &Context, const model_run &Run,
                     upstream_attempt &Attempt, http_call &Call);
/// Sends the caller an error event if the stream has begun. A truncated stream
/// is never terminated as if it were complete. Never throws.
void endStreamWithError(request_context &Context, const spindle_error &Error);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H
