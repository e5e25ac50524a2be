#include "LibCore/random_fraction.h"

#include <random>

namespace spindle {

double randomFraction() {
  thread_local std::mt19937_64 Generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(Generator);
}

} // namespace spindle
