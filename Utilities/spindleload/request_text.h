#ifndef PARSLEYSPINDLE_SPINDLELOAD_REQUEST_TEXT_H
#define PARSLEYSPINDLE_SPINDLELOAD_REQUEST_TEXT_H

#include "LibHTTP/http_message.h"
#include "LibLoad/arrival_plan.h"

#include <string>

namespace spindle {

/// A request as it is sent, and what its answer must be.
struct request_text {
  http_request_head Head;
  std::string Body;
  /// Completions: the adapter as "name@version", and the answer's text.
  std::string Adapter;
  std::string ExpectedAnswer;
  /// Orders: the Idempotency-Key.
  std::string OrderKey;
  double PromptTokens = 0;
  double MostAnswerTokens = 0;
};

/// Writes a planned request. \p RunName makes order keys and prompts unique to
/// the run. Thread-safe.
request_text writeRequest(const load_scenarios &Common,
                          const planned_request &Request,
                          const std::string &RunName);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_REQUEST_TEXT_H
