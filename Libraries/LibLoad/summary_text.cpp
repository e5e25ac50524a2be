#include "LibLoad/load_summary.h"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static json toJson(const latency_histogram &Histogram) {
  return {{"count", Histogram.count()},
          {"leastMs", Histogram.leastMs()},
          {"meanMs", Histogram.meanMs()},
          {"p50Ms", Histogram.percentileMs(0.5)},
          {"p90Ms", Histogram.percentileMs(0.9)},
          {"p99Ms", Histogram.percentileMs(0.99)},
          {"greatestMs", Histogram.greatestMs()}};
}

static json toJson(const load_group &Group) {
  json Refusals = json::array();
  for (const auto &[Reason, Count] : Group.Refusals)
    Refusals.push_back(
        {{"code", Reason.first}, {"state", Reason.second}, {"count", Count}});
  return {{"sent", Group.Sent},
          {"whole", Group.Whole},
          {"broken", Group.Broken},
          {"foreign", Group.Foreign},
          {"stalled", Group.Stalled},
          {"firstByte", toJson(Group.FirstByte)},
          {"wholeAnswer", toJson(Group.WholeAnswer)},
          {"refusals", Refusals}};
}

static json
toJson(const std::vector<std::pair<std::string, load_group>> &Groups) {
  json Object = json::object();
  for (const auto &[Name, Group] : Groups)
    Object[Name] = toJson(Group);
  return Object;
}

static json toJson(const load_summary &Summary) {
  json Oracle = json::object();
  for (std::size_t Index = 0; Index < Summary.Oracle.size(); ++Index) {
    const oracle_verdict &Verdict = Summary.Oracle[Index];
    Oracle[Summary.Customers[Index].first] = {
        {"refused", Verdict.Refused},
        {"wrongful", Verdict.Wrongful},
        {"wrongfulByRate", Verdict.WrongfulByRate},
        {"greatestExcessTokens", Verdict.GreatestExcess}};
  }
  const engine_work &Engines = Summary.Engines;
  return {{"scenario", Summary.Scenario},
          {"meaning", Summary.Meaning},
          {"seconds", Summary.Seconds},
          {"all", toJson(Summary.All)},
          {"customers", toJson(Summary.Customers)},
          {"classes", toJson(Summary.Classes)},
          {"kinds", toJson(Summary.Kinds)},
          {"oracle", Oracle},
          {"engines",
           {{"steps", Engines.Steps},
            {"tokens", Engines.Tokens},
            {"loads", Engines.Loads},
            {"unloads", Engines.Unloads},
            {"evictedInUse", Engines.EvictedInUse},
            {"restarts", Engines.Restarts}}},
          {"orders",
           {{"sent", Summary.Orders.Sent},
            {"run", Summary.Orders.Run},
            {"doubled", Summary.Orders.Doubled},
            {"falseNotRun", Summary.Orders.FalseNotRun},
            {"falseWhole", Summary.Orders.FalseWhole}}},
          {"firstByteP99MsBySecond", Summary.FirstByteP99BySecond}};
}

std::string writeJson(std::span<const load_summary> Summaries) {
  json List = json::array();
  for (const load_summary &Summary : Summaries)
    List.push_back(toJson(Summary));
  return List.dump(1) + "\n";
}

/// Appends formatted text.
[[gnu::format(printf, 2, 3)]] static void append(std::string &Text,
                                                 const char *Format, ...) {
  std::va_list Arguments;
  va_start(Arguments, Format);
  std::array<char, 512> Line{};
  const int Length =
      std::vsnprintf(Line.data(), Line.size(), Format, Arguments);
  va_end(Arguments);
  Text.append(Line.data(), std::min<std::size_t>(Length, Line.size() - 1));
}

static std::size_t refusedOf(const load_group &Group) {
  return Group.Sent - Group.Whole - Group.Broken - Group.Foreign;
}

static void appendGroup(std::string &Text, const std::string &Name,
                        const load_group &Group) {
  append(Text,
         "| %s | %zu | %zu | %zu | %zu | %zu | %zu | %.0f | %.0f | %.0f | "
         "%.0f |\n",
         Name.c_str(), Group.Sent, Group.Whole, refusedOf(Group), Group.Broken,
         Group.Foreign, Group.Stalled, Group.FirstByte.percentileMs(0.5),
         Group.FirstByte.percentileMs(0.99),
         Group.WholeAnswer.percentileMs(0.5),
         Group.WholeAnswer.percentileMs(0.99));
}

static void appendRefusals(std::string &Text, const load_summary &Summary) {
  for (const auto &[Kind, Group] : Summary.Kinds)
    for (const auto &[Reason, Count] : Group.Refusals)
      append(Text, "- %s: %zu refused as %s (%s)\n", Kind.c_str(), Count,
             Reason.first.c_str(), Reason.second.c_str());
}

static void appendOracle(std::string &Text, const load_summary &Summary) {
  for (std::size_t Index = 0; Index < Summary.Oracle.size(); ++Index) {
    const oracle_verdict &Verdict = Summary.Oracle[Index];
    append(Text,
           "- oracle, %s: %zu refused, %zu of them within the rate (%zu by "
           "rate), greatest excess %.0f tokens\n",
           Summary.Customers[Index].first.c_str(), Verdict.Refused,
           Verdict.Wrongful, Verdict.WrongfulByRate, Verdict.GreatestExcess);
  }
}

static void appendSummary(std::string &Text, const load_summary &Summary) {
  append(Text, "\n## %s\n\n%s\n\n", Summary.Scenario.c_str(),
         Summary.Meaning.c_str());
  Text += "| group | sent | whole | refused | broken | foreign | stalled | "
          "first byte p50 ms | p99 ms | whole answer p50 ms | p99 ms |\n"
          "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | "
          "---: | ---: |\n";
  appendGroup(Text, "all completions", Summary.All);
  for (const auto &[Name, Group] : Summary.Customers)
    appendGroup(Text, "customer " + Name, Group);
  for (const auto &[Name, Group] : Summary.Classes)
    appendGroup(Text, "class " + Name, Group);
  for (const auto &[Name, Group] : Summary.Kinds)
    if (Group.Sent > 0 && Name != "completion")
      appendGroup(Text, Name, Group);
  Text += "\n";
  appendRefusals(Text, Summary);
  appendOracle(Text, Summary);
  const engine_work &Engines = Summary.Engines;
  append(Text,
         "- engines: %.0f steps, %.0f tokens (%.2f a step), %.0f loads, %.0f "
         "unloads, %.0f evictions in use, %.0f restarts\n",
         Engines.Steps, Engines.Tokens,
         Engines.Steps > 0 ? Engines.Tokens / Engines.Steps : 0, Engines.Loads,
         Engines.Unloads, Engines.EvictedInUse, Engines.Restarts);
  const order_audit &Orders = Summary.Orders;
  if (Orders.Sent > 0)
    append(Text,
           "- orders by the services' records: %zu sent, %zu run, %zu doubled, "
           "%zu run though refused as not run, %zu not run though answered\n",
           Orders.Sent, Orders.Run, Orders.Doubled, Orders.FalseNotRun,
           Orders.FalseWhole);
}

std::string writeMarkdown(std::span<const load_summary> Summaries) {
  std::string Text;
  for (const load_summary &Summary : Summaries)
    appendSummary(Text, Summary);
  return Text;
}

} // namespace spindle
