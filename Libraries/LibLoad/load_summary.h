#ifndef PARSLEYSPINDLE_LIBLOAD_LOAD_SUMMARY_H
#define PARSLEYSPINDLE_LIBLOAD_LOAD_SUMMARY_H

#include "LibLoad/latency_histogram.h"
#include "LibLoad/load_record.h"
#include "LibLoad/rate_oracle.h"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace spindle {

/// The outcomes of a group of requests.
struct load_group {
  std::size_t Sent = 0;
  std::size_t Whole = 0;
  std::size_t Broken = 0;
  std::size_t Foreign = 0;
  /// Answers whose first byte took longer than StallLimit.
  std::size_t Stalled = 0;
  latency_histogram FirstByte;
  latency_histogram WholeAnswer;
  /// From (result code's name, run state) to the number of refusals.
  std::map<std::pair<std::string, std::string>, std::size_t> Refusals;
};

/// What engines did during a run.
struct engine_work {
  double Steps = 0;
  double Tokens = 0;
  double Loads = 0;
  double Unloads = 0;
  double EvictedInUse = 0;
  double Restarts = 0;
};

/// The orders of a run by the services' own records.
struct order_audit {
  std::size_t Sent = 0;
  std::size_t Run = 0;
  /// Orders that took effect more than once: must never happen.
  std::size_t Doubled = 0;
  /// Orders refused as "not run" that took effect: must never happen.
  std::size_t FalseNotRun = 0;
  /// Orders answered as done that took no effect: must never happen.
  std::size_t FalseWhole = 0;
};

/// The promised time to the first token.
inline constexpr milliseconds StallLimit{1'200};

/// The results of one run of a scenario.
struct load_summary {
  std::string Scenario;
  std::string Meaning;
  double Seconds = 0;
  load_group All;
  /// By customer's name, by class's name, by kind's name.
  std::vector<std::pair<std::string, load_group>> Customers;
  std::vector<std::pair<std::string, load_group>> Classes;
  std::vector<std::pair<std::string, load_group>> Kinds;
  std::vector<oracle_verdict> Oracle;
  engine_work Engines;
  order_audit Orders;
  /// p99 of the first byte in each second of the run, in milliseconds.
  std::vector<double> FirstByteP99BySecond;
};

/// Sums up a run. Thread-safe.
load_summary summarise(const load_scenarios &Common,
                       const load_scenario &Scenario,
                       std::span<const load_record> Records);
/// Writes summaries as a JSON text. Thread-safe.
std::string writeJson(std::span<const load_summary> Summaries);
/// Writes summaries as tables in Markdown. Thread-safe.
std::string writeMarkdown(std::span<const load_summary> Summaries);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_LOAD_SUMMARY_H
