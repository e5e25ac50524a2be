#ifndef PARSLEYSPINDLE_LIBLOAD_LOAD_SCENARIO_H
#define PARSLEYSPINDLE_LIBLOAD_LOAD_SCENARIO_H

#include "LibConfiguration/intent.h"

#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// One customer's part of the load.
struct load_customer {
  std::string Name;
  /// The key that its callers present.
  std::string Key;
  /// Its adapters are named by prefix and number, from 1.
  std::string AdapterPrefix;
  std::uint32_t Adapters = 1;
  std::string Version = "1";
  /// The customer's part of all arrivals, relative to the others'.
  double Part = 1;
  /// As declared in the intent; wrongful refusals are judged by them.
  double RatePerSecond = 1;
  double BurstTokens = 1;
};

/// One class's part of every customer's arrivals.
struct load_class {
  priority_class Class = priority_class::Plain;
  double Part = 1;
  double PromptTokens = 100;
  double AnswerTokens = 50;
  /// Whether prompts begin with the common preamble.
  bool Preamble = false;
};

/// Something done to a program at a time: a switch of a stand-in, or a planned
/// stop of a host.
struct load_event {
  double AtSeconds = 0;
  std::string Target;
  /// The JSON body for PUT /control; empty: the process gets SIGTERM.
  std::string Control;
};

/// One run of the load tool.
struct load_scenario {
  std::string Name;
  std::string Meaning;
  double Seconds = 10;
  double RequestsPerSecond = 10;
  /// Calls to plain services.
  double OrdersPerSecond = 0;
  double StockChecksPerSecond = 0;
  /// A request that crashes engines, which its caller repeats without end.
  double CrashesPerSecond = 0;
  /// Popularity of adapters: the weight of rank r is r to minus this power.
  double ZipfExponent = 1;
  /// Every so often, ranks move by DriftRanks adapters; 0: never.
  double DriftSeconds = 0;
  std::uint32_t DriftRanks = 10;
  /// The customer, by index, that sends more than its part; -1: none.
  int HeavyCustomer = -1;
  double HeavyTimes = 1;
  /// The part of the arrivals that the balancer sends to the first host
  /// beyond an even split.
  double FirstHostPart = 0;
  std::vector<load_event> Events;
};

/// The scenarios of one file and what they have in common.
struct load_scenarios {
  std::uint64_t Seed = 1;
  std::uint32_t PreambleTokens = 400;
  /// The text in a prompt that makes an engine stand-in crash.
  std::string CrashMark = "crash-this-engine";
  std::string OrderPath = "/orders";
  std::string StockPath = "/stock";
  std::vector<load_customer> Customers;
  std::vector<load_class> Classes;
  std::vector<load_scenario> Scenarios;
};

/// Reads a file of scenarios, JSON with comments, and checks it whole.
/// \throws spindle_error InvalidSettings whose message has a line for each
/// problem: "FILE:LINE:COLUMN: field: what is wrong". Thread-safe.
load_scenarios parseScenarios(std::string_view Text, std::string_view FileName);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_LOAD_SCENARIO_H
