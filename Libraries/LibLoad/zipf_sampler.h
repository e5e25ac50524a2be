#ifndef PARSLEYSPINDLE_LIBLOAD_ZIPF_SAMPLER_H
#define PARSLEYSPINDLE_LIBLOAD_ZIPF_SAMPLER_H

#include <cstdint>
#include <random>
#include <vector>

namespace spindle {

/// Draws ranks from 0 whose weights fall as a power of the rank. Const after
/// construction, so thread-safe.
class zipf_sampler {
public:
  /// Precondition: \p Count is at least 1, \p Exponent not negative.
  zipf_sampler(std::uint32_t Count, double Exponent);
  /// Draws a rank in [0, Count).
  std::uint32_t draw(std::mt19937_64 &Random) const;

private:
  std::vector<double> Cumulative;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_ZIPF_SAMPLER_H
