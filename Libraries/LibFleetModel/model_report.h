#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REPORT_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REPORT_H

#include "LibFleetModel/fleet_model.h"

#include <span>
#include <string>

namespace spindle {

/// A run of a policy under a pattern.
struct model_report {
  std::string Pattern;
  std::string Policy;
  model_result Result;
};

/// The runs as a table in Markdown: a line each. Thread-safe.
std::string writeTable(std::span<const model_report> Reports);
/// The kinds of requests of each run as a table in Markdown. Thread-safe.
std::string writeKindTable(std::span<const model_report> Reports);
/// The runs as JSON, with the share of the worth in each second. Thread-safe.
std::string writeJson(std::span<const model_report> Reports);
/// The share of the worth by second, a line for each run, as an SVG image.
/// Thread-safe.
std::string drawReports(std::span<const model_report> Reports,
                        const std::string &Title);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_REPORT_H
