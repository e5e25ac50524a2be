#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H

#include "LibCore/runtime_clock.h"

#include <optional>

namespace spindle {

/// What an upstream states of itself in a response.
struct upstream_statement {
  /// The rate of requests from all hosts together that it accepts, for as long
  /// as it states it; none if it states no limit.
  std::optional<double> RequestsPerSecond;
  /// How long after a refusal it accepts no further request of this host.
  std::optional<milliseconds> RefusesFor;
  /// Whether the response has a limit or a time that can't be read. It neither
  /// sets nor ends one.
  bool IsMalformed = false;
  /// Whether it leaves, so that it must get no further requests.
  bool Leaving = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_STATEMENT_H
