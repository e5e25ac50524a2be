#include "LibLoad/load_summary.h"

#include <algorithm>
#include <array>

namespace spindle {

static void add(load_group &Group, const load_record &Record) {
  ++Group.Sent;
  switch (Record.Outcome) {
  case load_outcome::Refused:
    ++Group.Refusals[{Record.CodeName, Record.State}];
    return;
  case load_outcome::Broken:
    ++Group.Broken;
    return;
  case load_outcome::Foreign:
    ++Group.Foreign;
    return;
  case load_outcome::Whole:
    break;
  }
  ++Group.Whole;
  const nanoseconds FirstByte = Record.FirstByteAt - Record.Request.At;
  Group.FirstByte.record(FirstByte);
  Group.WholeAnswer.record(Record.EndedAt - Record.Request.At);
  if (FirstByte > StallLimit)
    ++Group.Stalled;
}

static std::vector<double>
firstByteBySecond(std::span<const load_record> Records, double Seconds) {
  std::vector<latency_histogram> Histograms(static_cast<std::size_t>(Seconds) +
                                            1);
  for (const load_record &Record : Records) {
    if (Record.Outcome != load_outcome::Whole ||
        Record.Request.Kind != load_kind::Completion)
      continue;
    const std::size_t Second = static_cast<std::size_t>(
        std::chrono::duration_cast<seconds>(Record.Request.At).count());
    if (Second < Histograms.size())
      Histograms[Second].record(Record.FirstByteAt - Record.Request.At);
  }
  std::vector<double> Result;
  Result.reserve(Histograms.size());
  for (const latency_histogram &Histogram : Histograms)
    Result.push_back(Histogram.percentileMs(0.99));
  return Result;
}

static const char *nameOf(priority_class Class) {
  static constexpr std::array<const char *, 4> Names{"rush", "chat", "plain",
                                                     "batch"};
  return Names[static_cast<std::size_t>(Class)];
}

load_summary summarise(const load_scenarios &Common,
                       const load_scenario &Scenario,
                       std::span<const load_record> Records) {
  load_summary Summary;
  Summary.Scenario = Scenario.Name;
  Summary.Meaning = Scenario.Meaning;
  Summary.Seconds = Scenario.Seconds;
  for (const load_customer &Customer : Common.Customers)
    Summary.Customers.push_back({Customer.Name, {}});
  for (const load_class &Class : Common.Classes)
    Summary.Classes.push_back({nameOf(Class.Class), {}});
  for (const char *const Kind :
       {"completion", "order", "stock check", "crashing"})
    Summary.Kinds.push_back({Kind, {}});
  for (const load_record &Record : Records) {
    const planned_request &Request = Record.Request;
    add(Summary.Kinds[static_cast<std::size_t>(Request.Kind)].second, Record);
    if (Request.Kind != load_kind::Completion)
      continue;
    add(Summary.All, Record);
    add(Summary.Customers[Request.Customer].second, Record);
    add(Summary.Classes[Request.Class].second, Record);
  }
  Summary.Oracle = judgeRefusals(Common.Customers, Records);
  Summary.FirstByteP99BySecond = firstByteBySecond(Records, Scenario.Seconds);
  return Summary;
}

} // namespace spindle
