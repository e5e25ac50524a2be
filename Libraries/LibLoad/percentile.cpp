#include "LibLoad/percentile.h"

#include <algorithm>
#include <cstddef>

namespace spindle {

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  const std::size_t Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  const auto Place = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), Place, Values.end());
  return *Place;
}

} // namespace spindle
