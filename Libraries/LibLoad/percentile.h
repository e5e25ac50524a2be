#ifndef PARSLEYSPINDLE_LIBLOAD_PERCENTILE_H
#define PARSLEYSPINDLE_LIBLOAD_PERCENTILE_H

#include <vector>

namespace spindle {

/// The value below or at which \p Part of \p Values lie; 0 if there are none.
/// Precondition: \p Part is in [0, 1]. Thread-safe.
double percentile(std::vector<double> Values, double Part);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_PERCENTILE_H
