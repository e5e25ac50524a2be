#ifndef PARSLEYSPINDLE_LIBLOAD_LOAD_RECORD_H
#define PARSLEYSPINDLE_LIBLOAD_LOAD_RECORD_H

#include "LibLoad/arrival_plan.h"

#include <string>

namespace spindle {

enum class load_outcome {
  /// The whole answer, and the one that belongs to the request.
  Whole,
  /// A typed refusal or failure by the system.
  Refused,
  /// The connection failed, or the answer ended early, without a typed error.
  Broken,
  /// A whole answer that is not the request's own: must never happen.
  Foreign,
};

/// The course and outcome of one request.
struct load_record {
  planned_request Request;
  load_outcome Outcome = load_outcome::Broken;
  /// Since the run's start.
  nanoseconds SentAt{0};
  nanoseconds FirstByteAt{0};
  nanoseconds EndedAt{0};
  /// Of a refusal: the result code's number and name, and the run state.
  int Code = 0;
  std::string CodeName;
  std::string State;
  /// Tokens that the customer is charged at admission and in the end.
  double ReservedTokens = 0;
  double UsedTokens = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_LOAD_RECORD_H
