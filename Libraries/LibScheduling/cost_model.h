#ifndef PARSLEYSPINDLE_LIBSCHEDULING_COST_MODEL_H
#define PARSLEYSPINDLE_LIBSCHEDULING_COST_MODEL_H

#include "LibScheduling/cost_history.h"
#include "LibScheduling/request_cost.h"

#include <optional>
#include <vector>

namespace spindle {

/// What requests of one host have cost, by what their heads state. The sizes
/// are fixed: rare keys have no cell of their own and count as their route.
///
/// Answers loads in which requests that look alike differ in cost.
struct cost_model {
  std::vector<cost_history> Services{32};
  std::vector<cost_history> Routes{256};
  std::vector<cost_history> Customers{512};
  std::vector<cost_history> Adapters{2'048};
  /// The ratio of the output to the hint, by route and customer.
  std::vector<cost_history> Hints{512};
  /// The ratio of the output to the estimate, by route and customer.
  std::vector<cost_history> Errors{512};
  /// The time that services without models take.
  std::vector<cost_history> PlainRoutes{256};
  std::vector<cost_history> PlainCustomers{512};
};

/// Estimates the cost of a request. Before anything is learned that is the
/// hint, else a part of the limit, else a default. Of service, route, customer
/// and adapter it uses the one whose requests differ least, and weighs the hint
/// by its error with that customer's earlier requests. Thread-safe for readers.
request_cost estimateCost(const cost_model &Model,
                          const cost_features &Features, time_point Now);

/// Records the output of a request that has ended well. Hints have effect on
/// estimates for the same customer only. Not thread-safe.
void noteOutput(cost_model &Model, const cost_features &Features,
                std::int64_t OutputTokens, time_point Now);

/// The output tokens that a request is expected to have left after
/// \p OutputSoFar; at least 1 before the limit. Thread-safe.
std::int64_t remainingOutput(const request_cost &Cost, std::int64_t OutputSoFar,
                             std::int64_t MaxOutputTokens);

/// The median time of a request to a service without models; none before the
/// first is noted. Thread-safe for readers.
std::optional<milliseconds> plainMilliseconds(const cost_model &Model,
                                              const cost_features &Features,
                                              time_point Now);

/// Records the time that a request to a service without models took. Not
/// thread-safe.
void notePlain(cost_model &Model, const cost_features &Features,
               nanoseconds Taken, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_COST_MODEL_H
