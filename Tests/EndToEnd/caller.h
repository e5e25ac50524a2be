#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_CALLER_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_CALLER_H

#include "EndToEnd/fleet.h"
#include "LibCore/result_code.h"

namespace spindle {

/// What a caller received for a request.
struct caller_answer {
  int Status = 0;
  /// Whether the answer presents itself as complete.
  bool Whole = false;
  /// Whether its connection was cut.
  bool Cut = false;
  /// The number and state of the error it received; 0 if none.
  int Code = 0;
  std::string State;
  /// The model's text, or the body of a service's answer.
  std::string Text;

  bool is(result_code Expected) const {
    return Code == static_cast<int>(Expected);
  }
};

/// A completion as the tests request it.
struct completion_question {
  std::string Model = "pickler@1";
  std::string Prompt;
  std::uint32_t Tokens = 20;
  bool Stream = false;
};

/// Writes an answer for a test's messages.
std::string describe(const caller_answer &Answer);
/// The fields of a request with the key of customer aalst.
http_fields callerFields();
/// Requests a completion from host \p Host and reads the answer. Never throws
/// spindle_error.
caller_answer requestCompletion(fleet &Fleet, std::size_t Host,
                                const completion_question &Question);
/// Starts a stream. Call it in a fiber. \throws spindle_error.
std::unique_ptr<http_call> startStream(fleet &Fleet, std::size_t Host,
                                       const completion_question &Question);
/// Reads a stream to its end. Call it in a fiber.
caller_answer readStream(http_call &Call);
/// Sends an order to host \p Host. Never throws spindle_error.
caller_answer sendOrder(fleet &Fleet, std::size_t Host,
                        const std::string &OrderKey);
/// Requests a stock check from host \p Host. Never throws spindle_error.
caller_answer checkStock(fleet &Fleet, std::size_t Host);
/// Whether the answer is the right one in whole, or an explicit error after at
/// most a part of the right one.
bool isOwnOrError(const caller_answer &Answer,
                  const completion_question &Question);
/// Adds the member \p Name over the records of \p StandIns.
std::uint64_t sumOfRecords(fleet &Fleet, const std::vector<endpoint> &StandIns,
                           const std::string &Name);
/// How often order \p OrderKey has taken effect at all services.
std::uint64_t effectsOf(fleet &Fleet, const std::string &OrderKey);
/// Repeats \p Condition until it holds or \p Limit has passed; returns whether
/// it held.
bool holdsWithin(nanoseconds Limit, const std::function<bool()> &Condition);

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_CALLER_H
