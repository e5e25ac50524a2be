#ifndef PARSLEYSPINDLE_STANDINS_LIBSTANDIN_COUNTED_FAULT_H
#define PARSLEYSPINDLE_STANDINS_LIBSTANDIN_COUNTED_FAULT_H

#include <cstdint>

namespace spindle {

/// Uses up one occurrence of a fault; returns whether there was one left.
inline bool takeOne(std::int64_t &Count) {
  if (Count <= 0)
    return false;
  --Count;
  return true;
}

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBSTANDIN_COUNTED_FAULT_H
