#include "LibCore/result_code.h"

#include <algorithm>
#include <cassert>

namespace spindle {

static constexpr result_code_info Table[] = {
#define RESULT_CODE(Number, Name, HttpStatus, State, Meaning)                  \
  {result_code::Name, #Name, HttpStatus, run_state::State, Meaning},
#include "LibCore/ResultCodes.def"
#undef RESULT_CODE
};

std::span<const result_code_info> resultCodes() { return Table; }

const result_code_info &describe(result_code Code) {
  const result_code_info *Found =
      std::lower_bound(std::begin(Table), std::end(Table), Code,
                       [](const result_code_info &Info, result_code Sought) {
                         return Info.Code < Sought;
                       });
  assert(Found != std::end(Table) && Found->Code == Code);
  return *Found;
}

std::string_view toText(run_state State) {
  switch (State) {
  case run_state::NotRun:
    return "not run";
  case run_state::MaybeRun:
    return "maybe run";
  case run_state::RunAnswerLost:
    return "run, answer lost";
  }
  return "maybe run";
}

spindle_error::spindle_error(result_code Code, const std::string &Message)
    : spindle_error(Code, describe(Code).State, Message) {}

spindle_error::spindle_error(result_code Code, run_state State,
                             const std::string &Message)
    : std::runtime_error(Message), Code(Code), State(State) {}

} // namespace spindle
