#include "LibLog/log.h"

#include "LibLog/line_writer.h"
#include "LibLog/log_budget.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <vector>

#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <nlohmann/json.hpp>

namespace spindle {

namespace logging = boost::log;
using logger = logging::sources::severity_logger_mt<log_severity>;

static constexpr log_event_info Table[] = {
#define LOG_EVENT(Number, Name, Severity, Meaning)                             \
  {log_event::Name, #Name, log_severity::Severity, Meaning},
#include "LibLog/LogEvents.def"
#undef LOG_EVENT
};

static constexpr std::string_view SeverityNames[] = {"debug", "info", "warning",
                                                     "error"};

static std::atomic<log_severity> LeastSeverity{log_severity::Info};
static std::atomic<bool> WritesJson{false};
// Without startLogging() nothing is written, not even by Boost.Log's own sink.
static bool Started = false;

static std::mutex BudgetMutex;
static log_budget Budget;
static thread_local int EventBeingWritten = 0;

namespace {

/// Writes to standard output and never waits for its reader.
class output_backend : public logging::sinks::basic_formatted_sink_backend<
                           char, logging::sinks::synchronized_feeding> {
public:
  // The name is given by Boost.Log.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const logging::record_view &, const std::string &Line) {
    if (writeLine(STDOUT_FILENO, Line))
      return;
    const std::lock_guard<std::mutex> Lock(BudgetMutex);
    noteLost(Budget, EventBeingWritten);
  }
};

} // namespace

static logger &theLogger() {
  static logger Logger;
  return Logger;
}

static const log_event_info &infoOf(log_event Event) {
  return *std::lower_bound(std::begin(Table), std::end(Table), Event,
                           [](const log_event_info &Info, log_event Sought) {
                             return Info.Event < Sought;
                           });
}

static std::string timeText() {
  const std::chrono::system_clock::time_point Now =
      std::chrono::system_clock::now();
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  const long long Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count() %
      1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[40];
  const std::size_t Length =
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%S", &Parts);
  char Fraction[8];
  std::snprintf(Fraction, sizeof Fraction, ".%03lldZ", Milliseconds);
  return std::string(Text, Length) + Fraction;
}

static std::string jsonLine(const log_event_info &Info,
                            std::initializer_list<log_field> Fields) {
  nlohmann::ordered_json Line;
  Line["time"] = timeText();
  Line["severity"] = SeverityNames[static_cast<std::size_t>(Info.Severity)];
  Line["event"] = static_cast<int>(Info.Event);
  Line["name"] = Info.Name;
  for (const log_field &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

static std::string textLine(const log_event_info &Info,
                            std::initializer_list<log_field> Fields) {
  std::string Line = timeText();
  Line += ' ';
  Line += SeverityNames[static_cast<std::size_t>(Info.Severity)];
  Line += ' ';
  Line += std::to_string(static_cast<int>(Info.Event));
  Line += ' ';
  Line += Info.Name;
  for (const log_field &Field : Fields) {
    Line += ' ';
    Line += Field.Name;
    Line += '=';
    Line += Field.Value;
  }
  return Line;
}

std::span<const log_event_info> logEvents() { return Table; }

bool parseSeverity(std::string_view Text, log_severity &Severity) {
  const auto Found =
      std::find(std::begin(SeverityNames), std::end(SeverityNames), Text);
  if (Found == std::end(SeverityNames))
    return false;
  Severity = static_cast<log_severity>(Found - std::begin(SeverityNames));
  return true;
}

void setLogging(const log_settings &Settings) {
  LeastSeverity.store(Settings.Least);
  WritesJson.store(Settings.AsJson);
}

void startLogging(const log_settings &Settings) {
  setLogging(Settings);
  Started = true;
  using frontend = logging::sinks::synchronous_sink<output_backend>;
  const boost::shared_ptr<frontend> Sink = boost::make_shared<frontend>();
  Sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(Sink);
}

static std::string lineOf(const log_event_info &Info,
                          std::initializer_list<log_field> Fields) {
  return WritesJson.load() ? jsonLine(Info, Fields) : textLine(Info, Fields);
}

/// Whether the line may be written; first writes what was left out before.
static bool mayWrite(const log_event_info &Info) {
  const time_point Now = boot_clock::now();
  std::vector<left_out_lines> LeftOut;
  bool Allowed = false;
  {
    const std::lock_guard<std::mutex> Lock(BudgetMutex);
    LeftOut = takeLeftOut(Budget, Now);
    Allowed = spendLine(Budget, static_cast<int>(Info.Event), Now);
  }
  for (const left_out_lines &Lines : LeftOut)
    BOOST_LOG_SEV(theLogger(), log_severity::Warning)
        << lineOf(infoOf(log_event::LinesLeftOut),
                  {{"left_out", std::to_string(Lines.Event)},
                   {"count", std::to_string(Lines.Count)}});
  return Allowed;
}

void logEvent(log_event Event,
              std::initializer_list<log_field> Fields) noexcept {
  try {
    const log_event_info &Info = infoOf(Event);
    if (!Started || Info.Severity < LeastSeverity.load())
      return;
    if (!mayWrite(Info))
      return;
    EventBeingWritten = static_cast<int>(Event);
    BOOST_LOG_SEV(theLogger(), Info.Severity) << lineOf(Info, Fields);
  } catch (const std::exception &) {
    // A line that can't be written must not end the work that it reports.
    return;
  }
}

} // namespace spindle
