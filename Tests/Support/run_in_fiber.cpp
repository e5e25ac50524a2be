#include "Support/run_in_fiber.h"

namespace spindle {

result_code runInFiber(fiber_runtime &Runtime,
                       const std::function<void()> &Work) {
  result_code Code{};
  Runtime.runBlocking([&] {
    try {
      Work();
    } catch (const spindle_error &Error) {
      Code = Error.code();
    }
  });
  return Code;
}

} // namespace spindle
