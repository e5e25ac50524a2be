#include "LibFleetModel/model_report.h"

#include "LibLoad/svg_plot.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace spindle {

static std::string fixed(double Value, int Digits) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%.*f", Digits, Value);
  return Text.data();
}

static std::string line(std::span<const std::string> Cells) {
  std::string Line = "|";
  for (const std::string &Cell : Cells)
    Line += " " + Cell + " |";
  return Line + "\n";
}

static std::string header(std::span<const std::string> Names) {
  std::string Line = line(Names) + "|";
  for (std::size_t Column = 0; Column < Names.size(); ++Column)
    Line += " --- |";
  return Line + "\n";
}

std::string writeTable(std::span<const model_report> Reports) {
  const std::vector<std::string> Names = {
      "pattern",      "policy",     "worth",      "refused",
      "failed",       "fetched",    "copies",     "stalled",
      "stall p99 ms", "read again", "other zone", "preempted"};
  std::string Text = header(Names);
  for (const model_report &Report : Reports) {
    const model_result &Result = Report.Result;
    std::uint64_t Refused = 0;
    std::uint64_t Failed = 0;
    for (const kind_result &Kind : Result.Kinds) {
      Refused += Kind.Refused;
      Failed += Kind.Failed;
    }
    const std::vector<std::string> Cells = {
        Report.Pattern,
        Report.Policy,
        fixed(Result.WorthShare, 3),
        std::to_string(Refused),
        std::to_string(Failed),
        std::to_string(Result.Fetches),
        std::to_string(Result.CopiesLoaded),
        std::to_string(Result.Stalled),
        fixed(Result.StallP99Milliseconds, 0),
        fixed(Result.PrefilledAgainShare, 3),
        fixed(Result.OtherZoneShare, 3),
        std::to_string(Result.Preemptions)};
    Text += line(Cells);
  }
  return Text;
}

std::string writeKindTable(std::span<const model_report> Reports) {
  const std::vector<std::string> Names = {
      "pattern", "policy", "kind",  "asked",  "in time", "late",
      "refused", "failed", "worth", "p50 ms", "p99 ms"};
  std::string Text = header(Names);
  for (const model_report &Report : Reports)
    for (const kind_result &Kind : Report.Result.Kinds) {
      const double Worth =
          Kind.WorthOwed > 0 ? Kind.WorthEarned / Kind.WorthOwed : 0;
      const std::vector<std::string> Cells = {
          Report.Pattern,
          Report.Policy,
          Kind.Name,
          std::to_string(Kind.Requests),
          std::to_string(Kind.InTime),
          std::to_string(Kind.Late),
          std::to_string(Kind.Refused),
          std::to_string(Kind.Failed),
          fixed(Worth, 3),
          fixed(Kind.FirstEventP50Milliseconds, 0),
          fixed(Kind.FirstEventP99Milliseconds, 0)};
      Text += line(Cells);
    }
  return Text;
}

std::string writeJson(std::span<const model_report> Reports) {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const model_report &Report : Reports) {
    const model_result &Result = Report.Result;
    nlohmann::ordered_json Run;
    Run["pattern"] = Report.Pattern;
    Run["policy"] = Report.Policy;
    Run["worthShare"] = Result.WorthShare;
    Run["fetches"] = Result.Fetches;
    Run["copiesLoaded"] = Result.CopiesLoaded;
    Run["stalled"] = Result.Stalled;
    Run["stallP99Milliseconds"] = Result.StallP99Milliseconds;
    Run["tokensRead"] = Result.TokensPrefilled;
    Run["readAgainShare"] = Result.PrefilledAgainShare;
    Run["otherZoneShare"] = Result.OtherZoneShare;
    Run["preemptions"] = Result.Preemptions;
    for (const kind_result &Kind : Result.Kinds)
      Run["kinds"].push_back(
          {{"name", Kind.Name},
           {"asked", Kind.Requests},
           {"inTime", Kind.InTime},
           {"late", Kind.Late},
           {"refused", Kind.Refused},
           {"failed", Kind.Failed},
           {"worthOwed", Kind.WorthOwed},
           {"worthEarned", Kind.WorthEarned},
           {"firstEventP50Milliseconds", Kind.FirstEventP50Milliseconds},
           {"firstEventP99Milliseconds", Kind.FirstEventP99Milliseconds}});
    Run["worthBySecond"] = Result.WorthBySecond;
    List.push_back(std::move(Run));
  }
  return List.dump(1) + "\n";
}

std::string drawReports(std::span<const model_report> Reports,
                        const std::string &Title) {
  std::vector<plot_line> Lines;
  for (const model_report &Report : Reports)
    Lines.push_back({Report.Policy, Report.Result.WorthBySecond});
  return drawPlot({Title, "second", "share of the worth"}, Lines);
}

} // namespace spindle
