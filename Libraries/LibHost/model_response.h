#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H

#include "LibHost/model_run.h"
#include "LibHost/upstream_attempt.h"

namespace spindle {

/// The functions below send an engine's answer to the caller and block the
/// calling fiber. What they throw is a spindle_error; if the answer has begun,
/// the connection must be cut.

/// Passes on a refusal of the engine that is about the request itself.
void passRefusal(request_context &Context, http_call &Call);
/// Passes on an answer that is not streamed, once it is verified. Returns the
/// tokens used.
tokens passWhole(request_context &Context, const model_run &Run,
                 http_call &Call);
/// Passes on a stream's verified events, those of one read together. Returns
/// the tokens used.
tokens passEvents(request_context &Context, const model_run &Run,
                  upstream_attempt &Attempt, http_call &Call);
/// Tells the caller of a stream that has begun why it ends. What is cut is
/// never ended as if it were whole. Never throws.
void endStreamWithError(request_context &Context, const spindle_error &Error);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_RESPONSE_H
