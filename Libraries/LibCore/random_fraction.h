#ifndef PARSLEYSPINDLE_LIBCORE_RANDOM_FRACTION_H
#define PARSLEYSPINDLE_LIBCORE_RANDOM_FRACTION_H

namespace spindle {

/// Returns a random number in [0, 1). Every thread has a sequence of its own.
/// Thread-safe.
double randomFraction();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_RANDOM_FRACTION_H
