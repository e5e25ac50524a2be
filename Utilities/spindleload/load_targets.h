#ifndef PARSLEYSPINDLE_SPINDLELOAD_LOAD_TARGETS_H
#define PARSLEYSPINDLE_SPINDLELOAD_LOAD_TARGETS_H

#include "LibCore/endpoint.h"

#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// A running program that the load tool calls.
struct load_target {
  std::string Name;
  endpoint Address;
  /// The process to stop in a scenario; 0: none.
  int ProcessId = 0;
};

/// The programs of a run.
struct load_targets {
  std::vector<load_target> Hosts;
  std::vector<load_target> Engines;
  std::vector<load_target> Services;
  std::vector<load_target> Platforms;
};

/// Reads a file of targets, JSON with comments.
/// \throws spindle_error InvalidSettings with a line for each problem.
/// Thread-safe.
load_targets parseTargets(std::string_view Text, std::string_view FileName);
/// Finds a target of any kind by name; null if there is none. Thread-safe.
const load_target *findTarget(const load_targets &Targets,
                              std::string_view Name);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_LOAD_TARGETS_H
