#ifndef PARSLEYSPINDLE_LIBCORE_RESULT_CODE_H
#define PARSLEYSPINDLE_LIBCORE_RESULT_CODE_H

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace spindle {

/// Whether an upstream has run a request that was refused or failed.
enum class run_state { NotRun, MaybeRun, RunAnswerLost };

/// The numbered result codes; docs/RESULT-CODES.md lists them.
enum class result_code : int {
#define RESULT_CODE(Number, Name, HttpStatus, State, Meaning) Name = Number,
#include "LibCore/ResultCodes.def"
#undef RESULT_CODE
};

/// What a result code stands for.
struct result_code_info {
  result_code Code;
  std::string_view Name;
  int HttpStatus;
  run_state State;
  std::string_view Meaning;
};

/// Lists every result code in ascending order. Thread-safe.
std::span<const result_code_info> resultCodes();
/// Describes \p Code. Thread-safe.
const result_code_info &describe(result_code Code);
/// Returns "not run", "maybe run" or "run, answer lost". Thread-safe.
std::string_view toText(run_state State);

/// An error that carries a numbered result code.
class spindle_error : public std::runtime_error {
public:
  spindle_error(result_code Code, const std::string &Message);
  /// An error whose run state differs from the code's usual one.
  spindle_error(result_code Code, run_state State, const std::string &Message);

  result_code code() const { return Code; }
  run_state state() const { return State; }

private:
  result_code Code;
  run_state State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_RESULT_CODE_H
