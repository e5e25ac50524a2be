#ifndef PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H
#define PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H

namespace spindle {

/// Whether \p Status is one that HTTP defines classes for, 100 to 599. A status
/// line may hold any three digits. Thread-safe.
bool isHttpStatus(int Status);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_STATUS_CODE_H
