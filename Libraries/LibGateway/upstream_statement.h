#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H

#include <optional>

namespace spindle {

/// What an upstream states of itself in a response.
struct upstream_statement {
  /// The rate of requests from all hosts together that it accepts, for as long
  /// as it states it; none if it states no limit.
  std::optional<double> RequestsPerSecond;
  /// Whether the response has a limit that can't be read. It neither sets nor
  /// ends one.
  bool IsMalformed = false;
  /// Whether it leaves, so that it must get no further requests.
  bool Leaving = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H
