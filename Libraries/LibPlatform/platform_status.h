#ifndef PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_STATUS_H
#define PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_STATUS_H

#include "LibCore/result_code.h"

namespace spindle {

/// The failure that a status of the platform stands for. Thread-safe.
result_code codeOfStatus(int Status);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPLATFORM_PLATFORM_STATUS_H
