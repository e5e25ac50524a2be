#ifndef PARSLEYSPINDLE_SPINDLELOAD_ANSWER_CHECK_H
#define PARSLEYSPINDLE_SPINDLELOAD_ANSWER_CHECK_H

#include "LibLoad/load_record.h"
#include "request_text.h"

#include <string_view>

namespace spindle {

/// Checks the whole body of a completion's stream: that it came to its end
/// and is the answer to this request. Thread-safe.
load_outcome checkStream(const request_text &Request, std::string_view Body);
/// Checks the answer of a plain service. Thread-safe.
load_outcome checkService(const request_text &Request, std::string_view Body);
/// Reads code, name and run state from a typed error; leaves \p Record as it
/// is, Broken, if the body is none. Thread-safe.
void readRefusal(load_record &Record, std::string_view Body);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_ANSWER_CHECK_H
