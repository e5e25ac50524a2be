#ifndef PARSLEYSPINDLE_TESTS_SUPPORT_RUN_IN_FIBER_H
#define PARSLEYSPINDLE_TESTS_SUPPORT_RUN_IN_FIBER_H

#include "LibCore/result_code.h"
#include "LibRuntime/fiber_runtime.h"

#include <functional>

namespace spindle {

/// Runs \p Work in a fiber and returns the result code that it throws; 0 if
/// none. Precondition: the caller is not on a thread of \p Runtime.
result_code runInFiber(fiber_runtime &Runtime,
                       const std::function<void()> &Work);

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_SUPPORT_RUN_IN_FIBER_H
